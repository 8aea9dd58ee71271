#include <plantainslip/requests/answer_sink.hpp>

#include <nlohmann/json.hpp>

namespace plantainslip::requests {

namespace {

using nlohmann::ordered_json;

constexpr int kOk = 200;

ordered_json
MakeCompletion(const core::RequestId& aRequest,
               const std::string& aModel,
               const std::string& aText,
               const ordered_json& aFinishReason)
{
  return { { "id", aRequest.Text() },
           { "object", "text_completion" },
           { "model", aModel },
           { "choices",
             ordered_json::array(
               { { { "index", 0 }, { "text", aText }, { "finish_reason", aFinishReason } } }) } };
}

std::string
Dump(const ordered_json& aValue)
{
  return aValue.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

class EventSink final : public AnswerSink
{
public:
  EventSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel)
    : exchange(aExchange)
    , request(std::move(aRequest))
    , model(std::move(aModel))
  {
  }

  void SetResumeToken(const std::string& aToken) override { this->resume = aToken; }

  bool Text(core::TokenOffset aOffset, const std::string& aText) override
  {
    ordered_json chunk = MakeCompletion(this->request, this->model, aText, nullptr);
    if (!this->started && !this->resume.empty()) {
      chunk["resume"] = this->resume;
    }
    const std::string event =
      "id: " + std::to_string(aOffset.Number()) + "\ndata: " + Dump(chunk) + "\n\n";
    return this->Begin() && this->exchange.SendChunk(event);
  }

  bool Finish(const std::string& aReason, core::TokenOffset aLength) override
  {
    ordered_json last = MakeCompletion(this->request, this->model, "", aReason);
    last["usage"] = { { "completion_tokens", aLength.Number() } };
    return this->Begin() && this->exchange.SendChunk("data: " + Dump(last) + "\n\n") &&
           this->exchange.SendChunk("data: [DONE]\n\n") && this->exchange.EndStream();
  }

  bool Fail(const Problem& aProblem) override
  {
    if (!this->started) {
      return RespondProblem(this->exchange, aProblem);
    }
    return this->exchange.SendChunk("event: error\ndata: " + FormatProblem(aProblem) + "\n\n") &&
           this->exchange.EndStream();
  }

private:
  bool Begin()
  {
    if (this->started) {
      return true;
    }
    this->started = true;
    std::vector<net::Header> headers = { { "X-Request-Id", this->request.Text() } };
    if (!this->resume.empty()) {
      headers.push_back({ "X-Resume-Token", this->resume });
    }
    return this->exchange.BeginStream(kOk, "text/event-stream", headers);
  }

  net::HttpExchange& exchange;
  core::RequestId request;
  std::string model;
  std::string resume;
  bool started = false;
};

class JsonSink final : public AnswerSink
{
public:
  JsonSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel)
    : exchange(aExchange)
    , request(std::move(aRequest))
    , model(std::move(aModel))
  {
  }

  bool Text(core::TokenOffset /*aOffset*/, const std::string& aText) override
  {
    this->buffered += aText;
    return !this->exchange.CallerGone();
  }

  bool Finish(const std::string& aReason, core::TokenOffset aLength) override
  {
    ordered_json answer = MakeCompletion(this->request, this->model, this->buffered, aReason);
    answer["usage"] = { { "completion_tokens", aLength.Number() } };
    return this->exchange.Respond(
      kOk, "application/json", Dump(answer), { { "X-Request-Id", this->request.Text() } });
  }

  bool Fail(const Problem& aProblem) override { return RespondProblem(this->exchange, aProblem); }

private:
  net::HttpExchange& exchange;
  core::RequestId request;
  std::string model;
  std::string buffered;
};

} // namespace

std::unique_ptr<AnswerSink>
MakeEventSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel)
{
  return std::make_unique<EventSink>(aExchange, std::move(aRequest), std::move(aModel));
}

std::unique_ptr<AnswerSink>
MakeJsonSink(net::HttpExchange& aExchange, core::RequestId aRequest, std::string aModel)
{
  return std::make_unique<JsonSink>(aExchange, std::move(aRequest), std::move(aModel));
}

} // namespace plantainslip::requests

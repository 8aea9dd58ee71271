#include <plantainslip/requests/spill_over.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/peers/errors.hpp>
#include <plantainslip/requests/answer_sink.hpp>
#include <plantainslip/requests/completions.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::requests {

namespace {

using nlohmann::json;

std::string
ToCbor(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

json
FromCbor(const std::string& aBytes)
{
  return json::from_cbor(aBytes, true, false);
}

absl::Status
ToTargetError(const absl::Status& aStatus)
{
  if (core::IsError(aStatus, peers::errors::kUnreachable)) {
    return core::MakeError(targets::errors::kUnreachable, aStatus.message());
  }
  const bool proven = core::IsError(aStatus, peers::errors::kRefused) ||
                      core::IsError(aStatus, peers::errors::kNotAuthorized);
  return core::MakeError(proven ? targets::errors::kRefused : targets::errors::kLost,
                         aStatus.message());
}

// Adapts a peer's stream to the token stream of an engine.
class PeerTokenStream final : public targets::TokenStream
{
public:
  PeerTokenStream(std::unique_ptr<peers::PeerStream> aStream, const SpilledCompletion& aSpilled)
    : stream(std::move(aStream))
    , request(aSpilled.request)
    , attempt(aSpilled.attempt)
  {
  }

  absl::StatusOr<targets::TokenChunk> Next() override
  {
    const auto piece = this->stream->Next();
    if (!piece.ok()) {
      // After the first chunk, a refusal no longer proves that nothing was run.
      return this->started ? core::MakeError(targets::errors::kLost, piece.status().message())
                           : ToTargetError(piece.status());
    }
    if (!piece->has_value()) {
      return core::MakeError(targets::errors::kLost, "the peer's answer has no end marker");
    }
    return this->Read(**piece);
  }

private:
  absl::StatusOr<targets::TokenChunk> Read(const std::string& aPiece)
  {
    try {
      const json piece = FromCbor(aPiece);
      if (piece.contains("problem")) {
        const bool notRun = !this->started && piece.at("outcome") == "not_run";
        return core::MakeError(notRun ? targets::errors::kRefused : targets::errors::kLost,
                               piece.at("problem").get<std::string>());
      }
      this->started = true;
      targets::TokenChunk chunk;
      chunk.request = this->request;
      chunk.attempt = this->attempt;
      chunk.offset = core::TokenOffset(piece.at("offset").get<std::uint64_t>());
      chunk.last = piece.contains("end");
      (chunk.last ? chunk.finishReason : chunk.text) =
        piece.at(chunk.last ? "end" : "text").get<std::string>();
      return chunk;
    } catch (const json::exception& problem) {
      return core::MakeError(targets::errors::kBadAnswer, problem.what());
    }
  }

  std::unique_ptr<peers::PeerStream> stream;
  core::RequestId request;
  core::AttemptNumber attempt;
  bool started = false;
};

// Sends the chunks of an answer to the peer that forwarded the request.
class PeerSink final : public AnswerSink
{
public:
  explicit PeerSink(const peers::SendPiece& aSend)
    : send(aSend)
  {
  }

  bool Text(core::TokenOffset aOffset, const std::string& aText) override
  {
    return this->send(ToCbor({ { "offset", aOffset.Number() }, { "text", aText } }));
  }

  bool Finish(const std::string& aReason, core::TokenOffset aLength) override
  {
    return this->send(ToCbor({ { "offset", aLength.Number() }, { "end", aReason } }));
  }

  bool Fail(const Problem& aProblem) override
  {
    return this->send(ToCbor({ { "problem", std::string(aProblem.cause.message()) },
                               { "outcome", core::OutcomeName(aProblem.outcome) } }));
  }

private:
  const peers::SendPiece& send;
};

// Attempts on this zone's engines are numbered from one again, so they need a distinct request
// identifier.
core::RequestId
MakeSpilledRequestId(const SpilledCompletion& aSpilled)
{
  return core::RequestId(aSpilled.request.Text() + "-spilled-" +
                         std::to_string(aSpilled.attempt.Number()));
}

SpilledCompletion
ParseSpilledMessage(const json& aMessage)
{
  SpilledCompletion spilled;
  spilled.request = core::RequestId(aMessage.at("request").get<std::string>());
  spilled.attempt = core::AttemptNumber(aMessage.at("attempt").get<std::uint64_t>());
  spilled.offset = core::TokenOffset(aMessage.at("offset").get<std::uint64_t>());
  spilled.version = aMessage.at("version").get<std::string>();
  CompletionRequest& completion = spilled.completion;
  completion.deployment = core::DeploymentName(aMessage.at("model").get<std::string>());
  completion.adapter = aMessage.at("adapter").get<std::string>();
  completion.prompt = aMessage.at("prompt").get<std::string>();
  completion.maxTokens = core::TokenCount(aMessage.at("max_tokens").get<std::uint64_t>());
  completion.priority = aMessage.at("priority").get<int>();
  completion.workspace = core::WorkspaceId(aMessage.at("workspace").get<std::string>());
  completion.deadline = std::chrono::milliseconds(aMessage.at("deadline_ms").get<std::int64_t>());
  completion.stream = true;
  return spilled;
}

} // namespace

std::string
FormatSpilledCompletion(const SpilledCompletion& aSpilled)
{
  const CompletionRequest& completion = aSpilled.completion;
  return ToCbor({ { "request", aSpilled.request.Text() },
                  { "attempt", aSpilled.attempt.Number() },
                  { "offset", aSpilled.offset.Number() },
                  { "version", aSpilled.version },
                  { "model", completion.deployment.Text() },
                  { "adapter", completion.adapter },
                  { "prompt", completion.prompt },
                  { "max_tokens", completion.maxTokens.Number() },
                  { "priority", completion.priority },
                  { "workspace", completion.workspace.Text() },
                  { "deadline_ms", completion.deadline.count() } });
}

absl::StatusOr<SpilledCompletion>
ParseSpilledCompletion(const std::string& aBody)
{
  try {
    return ParseSpilledMessage(FromCbor(aBody));
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadRequest, problem.what());
  }
}

absl::StatusOr<std::unique_ptr<targets::TokenStream>>
OpenSpilledCompletion(peers::PeerClient& aPeers,
                      const net::Address& aPeer,
                      const SpilledCompletion& aSpilled,
                      std::chrono::milliseconds aTimeout)
{
  auto stream = aPeers.OpenStream(aPeer, kSpillKind, FormatSpilledCompletion(aSpilled), aTimeout);
  if (!stream.ok()) {
    return ToTargetError(stream.status());
  }
  return std::make_unique<PeerTokenStream>(*std::move(stream), aSpilled);
}

absl::Status
HandleSpilledCompletion(RequestContext& aContext,
                        const std::string& aBody,
                        const peers::SendPiece& aSend)
{
  const auto spilled = ParseSpilledCompletion(aBody);
  if (!spilled.ok()) {
    return spilled.status();
  }
  PeerSink sink(aSend);
  const core::RequestId requestId = MakeSpilledRequestId(*spilled);
  if (!aContext.gate.Enter()) {
    const absl::Status stopping = core::MakeError(errors::kStopping, aContext.instance.Text());
    sink.Fail({ stopping, core::Outcome::kNotRun, requestId });
    return absl::OkStatus();
  }
  {
    observe::LedgerEntry entry(aContext.ledger);
    const CompletionStart start{ requestId, spilled->offset, spilled->version, false };
    entry.Close(RunCompletion(aContext, spilled->completion, start, sink));
  }
  aContext.gate.Leave();
  return absl::OkStatus();
}

} // namespace plantainslip::requests

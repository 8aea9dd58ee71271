#include "wire_target.hpp"

#include <stdexcept>

namespace plantainslip::fakes {

using serving::AnswerWriter;
using serving::CallerRequest;
using serving::FindHeader;
using serving::HeaderList;
using serving::Task;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 2 };
/// Long enough for the caller to send its next request on the connection.
constexpr std::chrono::milliseconds kSecondCopyDelay{ 50 };
constexpr int kEventCount = 4;

std::string
HeaderOrEmpty(const CallerRequest& aRequest, std::string_view aName)
{
  const std::string* const found = FindHeader(aRequest.headers, aName);
  return found == nullptr ? "" : *found;
}

std::string
EventText(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " + std::to_string(aNumber) + "\n\n";
}

} // namespace

WireTarget::WireTarget(serving::asio::io_context& aContext, std::string aId)
  : id(std::move(aId))
{
  auto opened = serving::HttpListener::Open(aContext,
                                            { "127.0.0.1", 0 },
                                            this->clock,
                                            [this](const CallerRequest& aRequest,
                                                   AnswerWriter& aWriter,
                                                   serving::Cancellation& aCancellation) {
                                              return this->Serve(aRequest, aWriter, aCancellation);
                                            });
  if (!opened.ok()) {
    throw std::runtime_error(std::string(opened.status().message()));
  }
  this->listener = std::move(*opened);
}

void
WireTarget::SetBehaviors(std::vector<TargetBehavior> aBehaviors)
{
  const std::scoped_lock lock(this->mutex);
  this->released = false;
  this->behaviors.assign(aBehaviors.begin(), aBehaviors.end());
}

void
WireTarget::SetFatalPart(std::string aPart)
{
  const std::scoped_lock lock(this->mutex);
  this->fatalPart = std::move(aPart);
}

void
WireTarget::SetFatalPath(std::string aPath)
{
  const std::scoped_lock lock(this->mutex);
  this->fatalPath = std::move(aPath);
}

void
WireTarget::SetRateLimit(std::string aRequestsPerSecond)
{
  const std::scoped_lock lock(this->mutex);
  this->rateLimit = std::move(aRequestsPerSecond);
}

void
WireTarget::SetRetryAfter(std::string aSeconds)
{
  const std::scoped_lock lock(this->mutex);
  this->retryAfter = std::move(aSeconds);
}

void
WireTarget::SetReportStatus(int aStatus)
{
  const std::scoped_lock lock(this->mutex);
  this->reportStatus = aStatus;
}

std::size_t
WireTarget::CountReports() const
{
  const std::scoped_lock lock(this->mutex);
  return this->reports;
}

void
WireTarget::SetLeaving(bool aLeaving)
{
  const std::scoped_lock lock(this->mutex);
  this->leaving = aLeaving;
}

bool
WireTarget::IsLeaving() const
{
  const std::scoped_lock lock(this->mutex);
  return this->leaving;
}

// Returns the header fields of all responses.
HeaderList
WireTarget::ResponseHeaders(const CallerRequest& aRequest) const
{
  HeaderList headers;
  headers.push_back({ "X-Request-Id", HeaderOrEmpty(aRequest, "X-Request-Id") });
  const std::scoped_lock lock(this->mutex);
  if (this->leaving) {
    headers.push_back({ "Server-Leaving", "1" });
  }
  if (!this->rateLimit.empty()) {
    headers.push_back({ "Server-Limit", this->rateLimit });
  }
  return headers;
}

bool
WireTarget::HasEnded() const
{
  const std::scoped_lock lock(this->mutex);
  return this->ended;
}

bool
WireTarget::IsFatal(const CallerRequest& aRequest) const
{
  const std::scoped_lock lock(this->mutex);
  const bool prefill = HeaderOrEmpty(aRequest, "X-Serving-Stage") == "prefill";
  const std::string parts = "," + HeaderOrEmpty(aRequest, "X-Prompt-Prefix");
  const bool hasFatalPart =
    !this->fatalPart.empty() && parts.find("," + this->fatalPart + ":") != std::string::npos;
  return !prefill && (hasFatalPart || aRequest.target == this->fatalPath);
}

// Ends like a process that crashes after the head of its response.
Task<void>
WireTarget::End(const CallerRequest& aRequest, AnswerWriter& aWriter)
{
  HeaderList headers;
  headers.push_back({ "X-Request-Id", HeaderOrEmpty(aRequest, "X-Request-Id") });
  headers.push_back({ "X-Response-Seal", "seal-" + this->id });
  headers.push_back({ "Content-Type", "text/event-stream" });
  co_await aWriter.BeginStream(200, std::move(headers));
  {
    const std::scoped_lock lock(this->mutex);
    this->ended = true;
  }
  this->Close();
}

void
WireTarget::Release()
{
  const std::scoped_lock lock(this->mutex);
  this->released = true;
}

void
WireTarget::Close()
{
  this->Release();
  this->listener->Close();
}

std::vector<ReceivedRequest>
WireTarget::Received() const
{
  const std::scoped_lock lock(this->mutex);
  return this->received;
}

std::vector<std::string>
WireTarget::Orders() const
{
  const std::scoped_lock lock(this->mutex);
  return this->orders;
}

std::size_t
WireTarget::CountAbandoned() const
{
  const std::scoped_lock lock(this->mutex);
  return this->abandoned;
}

TargetBehavior
WireTarget::RecordRequest(const CallerRequest& aRequest)
{
  const std::scoped_lock lock(this->mutex);
  TargetBehavior act = TargetBehavior::kAnswer;
  if (!this->behaviors.empty()) {
    act = this->behaviors.front();
    this->behaviors.pop_front();
  }
  const bool refuses = act == TargetBehavior::kShed || act == TargetBehavior::kShedTwice ||
                       act == TargetBehavior::kMisdirected;
  this->received.push_back({ HeaderOrEmpty(aRequest, "X-Request-Id"),
                             aRequest.target,
                             aRequest.body,
                             aRequest.headers,
                             std::chrono::steady_clock::now(),
                             !refuses && HeaderOrEmpty(aRequest, "X-Serving-Stage") != "prefill",
                             this->leaving,
                             refuses ? this->retryAfter : "" });
  return act;
}

Task<bool>
WireTarget::ServeControl(const CallerRequest& aRequest, AnswerWriter& aWriter)
{
  HeaderList headers = this->ResponseHeaders(aRequest);
  if (aRequest.target == "/plantainslip/report") {
    int status = 0;
    {
      const std::scoped_lock lock(this->mutex);
      ++this->reports;
      status = this->reportStatus;
    }
    std::string body = R"({"stage":"decode","sequence":0})";
    co_await aWriter.WriteWhole(status, std::move(headers), std::move(body));
    co_return true;
  }
  if (aRequest.target == "/plantainslip/order") {
    {
      const std::scoped_lock lock(this->mutex);
      this->orders.push_back(aRequest.body);
    }
    std::string body;
    co_await aWriter.WriteWhole(202, std::move(headers), std::move(body));
    co_return true;
  }
  co_return false;
}

Task<void>
WireTarget::Respond(const CallerRequest& aRequest, AnswerWriter& aWriter, bool aBreakOff)
{
  HeaderList headers = this->ResponseHeaders(aRequest);
  if (HeaderOrEmpty(aRequest, "X-Serving-Stage") == "prefill") {
    std::string body = R"({"handle":"h1","tokens":10,"version":1})";
    co_await aWriter.WriteWhole(200, std::move(headers), std::move(body));
    co_return;
  }
  headers.push_back({ "X-Response-Seal", "seal-" + this->id });
  if (HeaderOrEmpty(aRequest, "X-Model-Id").empty()) {
    std::string body = "answer of " + this->id;
    co_await aWriter.WriteWhole(200, std::move(headers), std::move(body));
    co_return;
  }
  headers.push_back({ "Content-Type", "text/event-stream" });
  const std::string last = HeaderOrEmpty(aRequest, "Last-Event-Id");
  int next = last.empty() ? 1 : std::stoi(last) + 1;
  bool open = co_await aWriter.BeginStream(200, std::move(headers));
  for (; open && next <= kEventCount; ++next) {
    std::string event = EventText(next);
    if (aBreakOff && next == 2) {
      std::string half = event.substr(0, event.size() / 2);
      co_await aWriter.WriteChunk(std::move(half));
      aWriter.Abort();
      co_return;
    }
    open = co_await aWriter.WriteChunk(std::move(event));
  }
  if (open) {
    co_await aWriter.EndStream();
  }
}

Task<void>
WireTarget::Serve(const CallerRequest& aRequest,
                  AnswerWriter& aWriter,
                  serving::Cancellation& aCancellation)
{
  const bool served = co_await this->ServeControl(aRequest, aWriter);
  if (served) {
    co_return;
  }
  const TargetBehavior act = this->RecordRequest(aRequest);
  if (this->IsFatal(aRequest)) {
    co_await this->End(aRequest, aWriter);
    co_return;
  }
  const auto canContinue = [&] {
    const std::scoped_lock lock(this->mutex);
    return this->released || aCancellation.Reason().has_value();
  };
  while (act == TargetBehavior::kHold && !canContinue()) {
    co_await serving::SleepFor(kPollInterval, aCancellation);
  }
  if (aCancellation.Reason().has_value()) {
    const std::scoped_lock lock(this->mutex);
    ++this->abandoned;
    co_return;
  }
  if (act == TargetBehavior::kShed || act == TargetBehavior::kMisdirected ||
      act == TargetBehavior::kShedTwice) {
    const int copies = act == TargetBehavior::kShedTwice ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (copy > 0) {
        co_await serving::SleepFor(kSecondCopyDelay);
      }
      HeaderList headers = this->ResponseHeaders(aRequest);
      headers.push_back({ "X-Not-Run", "1" });
      {
        const std::scoped_lock lock(this->mutex);
        if (!this->retryAfter.empty()) {
          headers.push_back({ "Retry-After", this->retryAfter });
        }
      }
      std::string empty;
      co_await aWriter.WriteWhole(
        act == TargetBehavior::kMisdirected ? 421 : 503, std::move(headers), std::move(empty));
    }
    co_return;
  }
  if (act == TargetBehavior::kFail) {
    HeaderList headers = this->ResponseHeaders(aRequest);
    headers.push_back({ "X-Response-Seal", "seal-" + this->id });
    std::string body = "failed";
    co_await aWriter.WriteWhole(500, std::move(headers), std::move(body));
    co_return;
  }
  if (act == TargetBehavior::kDrop) {
    aWriter.Abort();
    co_return;
  }
  co_await this->Respond(aRequest, aWriter, act == TargetBehavior::kBreak);
}

} // namespace plantainslip::fakes

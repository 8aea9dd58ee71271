#include "platform_calls.hpp"

#include <stdexcept>

namespace plantainslip::fakes {

using serving::AnswerWriter;
using serving::CallerRequest;
using serving::Task;

namespace {

std::string
Field(const CallerRequest& aRequest, std::string_view aName)
{
  const std::string* const value = serving::FindHeader(aRequest.headers, aName);
  return value == nullptr ? "" : *value;
}

} // namespace

PlatformCallsFake::PlatformCallsFake(serving::asio::io_context& aContext)
{
  auto opened = serving::HttpListener::Open(
    aContext,
    { "127.0.0.1", 0 },
    this->clock,
    [this](const CallerRequest& aRequest, AnswerWriter& aWriter, serving::Cancellation&) {
      return this->Serve(aRequest, aWriter);
    });
  if (!opened.ok()) {
    throw std::runtime_error(std::string(opened.status().message()));
  }
  this->listener = std::move(*opened);
}

std::vector<ReceivedCall>
PlatformCallsFake::Calls() const
{
  const std::scoped_lock lock(this->mutex);
  return this->calls;
}

void
PlatformCallsFake::FailCallsOf(const std::string& aHolder)
{
  const std::scoped_lock lock(this->mutex);
  this->failing.insert(aHolder);
}

Task<void>
PlatformCallsFake::Serve(const CallerRequest& aRequest, AnswerWriter& aWriter)
{
  int status = 500;
  {
    const std::scoped_lock lock(this->mutex);
    const std::string holder = Field(aRequest, "X-Duty-Holder");
    if (!this->failing.contains(holder)) {
      status = 200;
      this->calls.push_back({ aRequest.target,
                              aRequest.body,
                              holder,
                              std::stoull(Field(aRequest, "X-Fencing-Token")),
                              std::chrono::steady_clock::now() });
    }
  }
  std::string body = "{}";
  co_await aWriter.WriteWhole(status, serving::HeaderList(), std::move(body));
}

} // namespace plantainslip::fakes

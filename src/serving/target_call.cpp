#include "target_call.hpp"

#include <charconv>
#include <limits>

#include <boost/beast/http/read.hpp>

#include <plantainslip/serving/errors.hpp>

#include "http_head.hpp"

namespace plantainslip::serving {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t kMaxHeadBytes = 65'536;
/// Max late responses to other requests that are skipped before the call fails.
constexpr int kMaxForeignResponses = 3;
/// Max interim (1xx) responses before the call fails; a target sends at most a few.
constexpr int kMaxInterimResponses = 8;
/// Max body of a late response to another request; beyond it a new connection is cheaper.
constexpr std::size_t kMaxForeignBodyBytes = 262'144;

// Returns the timeout stated in a `Keep-Alive` header field, or zero.
std::chrono::milliseconds
ParseKeepAliveTimeout(std::string_view aKeepAlive)
{
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t found = aKeepAlive.find(kTimeout);
  if (found == std::string_view::npos) {
    return std::chrono::milliseconds(0);
  }
  const std::string_view digits = aKeepAlive.substr(found + kTimeout.size());
  long seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

TargetCall::TargetCall(std::unique_ptr<OutgoingConnection> aConnection,
                       std::string aRequestId,
                       std::string_view aIdHeader,
                       Cancellation& aCancellation)
  : connection(std::move(aConnection))
  , requestId(std::move(aRequestId))
  , idHeader(aIdHeader)
  , cancellation(aCancellation)
  , scope(aCancellation, [this] {
    if (this->connection != nullptr) {
      ErrorCode ignored;
      this->connection->socket.close(ignored);
    }
  })
{
}

absl::Status
TargetCall::ToStatus(const ErrorCode& aError) const
{
  const bool malformed =
    aError.category() == http::make_error_code(http::error::bad_version).category() &&
    aError != http::error::end_of_stream && aError != http::error::partial_message;
  return core::MakeError(malformed ? errors::kBadAnswer : errors::kConnectionLost,
                         aError.message());
}

absl::Status
TargetCall::CancelledOr(absl::Status aStatus) const
{
  if (this->cancellation.Reason().has_value()) {
    return core::MakeError(errors::kCancelled, "the request was cancelled");
  }
  return aStatus;
}

Task<absl::Status>
TargetCall::Send(std::string aHead, std::string_view aBody)
{
  const std::array<asio::const_buffer, 2> parts = { asio::buffer(aHead),
                                                    asio::buffer(aBody.data(), aBody.size()) };
  ErrorCode error;
  co_await asio::async_write(this->connection->socket, parts, RedirectError(error));
  if (error) {
    co_return this->CancelledOr(this->ToStatus(error));
  }
  co_return this->CancelledOr(absl::OkStatus());
}

Task<absl::Status>
TargetCall::ReadOneHead(bool aSkipBody)
{
  this->parser = std::make_unique<Parser>();
  this->parser->header_limit(kMaxHeadBytes);
  // Boost 1.74 treats an absent limit as zero.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  this->parser->skip(aSkipBody);
  ErrorCode error;
  co_await http::async_read_header(
    this->connection->socket, this->connection->buffer, *this->parser, RedirectError(error));
  if (error) {
    co_return this->CancelledOr(this->ToStatus(error));
  }
  co_return this->CancelledOr(absl::OkStatus());
}

bool
TargetCall::IsForAnotherRequest() const
{
  const auto& message = this->parser->get();
  const auto found =
    message.find(boost::beast::string_view(this->idHeader.data(), this->idHeader.size()));
  return !this->requestId.empty() && found != message.end() && found->value() != this->requestId;
}

Task<absl::StatusOr<ResponseHead>>
TargetCall::ReadHead(bool aSkipBody)
{
  int foreignResponses = 0;
  int interimResponses = 0;
  while (foreignResponses <= kMaxForeignResponses && interimResponses <= kMaxInterimResponses) {
    const absl::Status read = co_await this->ReadOneHead(aSkipBody);
    if (!read.ok()) {
      co_return read;
    }
    const auto& message = this->parser->get();
    constexpr int kFirstFinalStatus = 200;
    const int status = static_cast<int>(message.result_int());
    if (!net::IsValidStatus(status)) {
      co_return core::MakeError(errors::kBadAnswer, "invalid status " + std::to_string(status));
    }
    const bool interim = status < kFirstFinalStatus;
    if (interim || this->IsForAnotherRequest()) {
      this->hasSkippedHead = true;
      foreignResponses += interim ? 0 : 1;
      interimResponses += interim ? 1 : 0;
      const auto discarded = co_await this->ReadAll(kMaxForeignBodyBytes);
      if (!discarded.ok()) {
        co_return discarded.status();
      }
      continue;
    }
    ResponseHead head;
    head.status = status;
    if (this->parser->chunked()) {
      head.framing = BodyFraming::kChunked;
    } else if (this->parser->need_eof()) {
      head.framing = BodyFraming::kConnectionEnd;
    }
    for (const auto& field : message) {
      const auto name = field.name_string();
      const auto value = field.value();
      head.headers.push_back(
        { std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
    }
    co_return head;
  }
  co_return core::MakeError(errors::kBadAnswer,
                            "only interim responses or responses to other requests");
}

bool
TargetCall::HasReceived() const
{
  return this->hasSkippedHead || this->connection == nullptr ||
         this->connection->buffer.size() > 0 ||
         (this->parser != nullptr && this->parser->got_some());
}

Task<absl::StatusOr<bool>>
TargetCall::ReadSome(std::string& aBody)
{
  if (this->parser->is_done()) {
    co_return false;
  }
  auto& body = this->parser->get().body();
  body.data = this->readBuffer.data();
  body.size = this->readBuffer.size();
  ErrorCode error;
  co_await http::async_read_some(
    this->connection->socket, this->connection->buffer, *this->parser, RedirectError(error));
  if (error == http::error::need_buffer) {
    error = {};
  }
  aBody.append(this->readBuffer.data(), this->readBuffer.size() - body.size);
  if (error || this->cancellation.Reason().has_value()) {
    co_return this->CancelledOr(this->ToStatus(error));
  }
  co_return !this->parser->is_done();
}

Task<absl::StatusOr<std::string>>
TargetCall::ReadAll(std::size_t aMaxBytes)
{
  std::string body;
  while (true) {
    if (!this->connection->account.Resize(body.size() + this->readBuffer.size())) {
      co_return core::MakeError(errors::kBadAnswer, "no memory for the answer");
    }
    const absl::StatusOr<bool> more = co_await this->ReadSome(body);
    if (!more.ok()) {
      co_return more.status();
    }
    if (body.size() > aMaxBytes) {
      co_return core::MakeError(errors::kBadAnswer, "the answer is too large");
    }
    if (!*more) {
      co_return body;
    }
  }
}

void
TargetCall::ReturnToPool(ConnectionPool& aPool, const net::Address& aAddress)
{
  const bool reusable = this->parser != nullptr && this->parser->is_done() &&
                        this->parser->keep_alive() && this->connection->buffer.size() == 0 &&
                        this->connection->socket.is_open();
  if (!reusable) {
    return;
  }
  this->connection->account.Hold(0);
  const auto keepAlive = this->parser->get()["Keep-Alive"];
  const auto lifetime = ParseKeepAliveTimeout(std::string_view(keepAlive.data(), keepAlive.size()));
  aPool.Release(aAddress, std::move(this->connection), lifetime);
}

} // namespace plantainslip::serving

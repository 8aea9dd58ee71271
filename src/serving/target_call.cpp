#include "target_call.hpp"

#include <charconv>
#include <limits>

#include <boost/beast/http/read.hpp>

#include <plantainslip/serving/errors.hpp>

#include "http_head.hpp"

namespace plantainslip::serving {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t kMostHeadBytes = 65'536;
/// Late answers to other requests that are passed over before the connection counts as broken.
constexpr int kMostForeignAnswers = 3;

// The timeout that a peer states in `Keep-Alive`, or zero.
std::chrono::milliseconds
StatedLifetime(std::string_view aKeepAlive)
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
TargetCall::Failure(const ErrorCode& aError) const
{
  const bool garbled =
    aError.category() == http::make_error_code(http::error::bad_version).category() &&
    aError != http::error::end_of_stream && aError != http::error::partial_message;
  return core::MakeError(garbled ? errors::kBadAnswer : errors::kConnectionLost, aError.message());
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
  co_await asio::async_write(this->connection->socket, parts, Into(error));
  if (error) {
    co_return this->CancelledOr(this->Failure(error));
  }
  co_return this->CancelledOr(absl::OkStatus());
}

Task<absl::Status>
TargetCall::ReadOneHead(bool aBodiless)
{
  this->parser = std::make_unique<Parser>();
  this->parser->header_limit(kMostHeadBytes);
  // An absent limit counts as zero in Boost 1.74.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  this->parser->skip(aBodiless);
  ErrorCode error;
  co_await http::async_read_header(
    this->connection->socket, this->connection->buffer, *this->parser, Into(error));
  if (error) {
    co_return this->CancelledOr(this->Failure(error));
  }
  co_return this->CancelledOr(absl::OkStatus());
}

bool
TargetCall::IsForeign() const
{
  const auto& message = this->parser->get();
  const auto found =
    message.find(boost::beast::string_view(this->idHeader.data(), this->idHeader.size()));
  return !this->requestId.empty() && found != message.end() && found->value() != this->requestId;
}

Task<absl::StatusOr<AnswerHead>>
TargetCall::ReadHead(bool aBodiless)
{
  for (int foreign = 0; foreign <= kMostForeignAnswers;) {
    const absl::Status read = co_await this->ReadOneHead(aBodiless);
    if (!read.ok()) {
      co_return read;
    }
    const auto& message = this->parser->get();
    constexpr int kFirstFinalStatus = 200;
    const int status = static_cast<int>(message.result_int());
    const bool interim = status < kFirstFinalStatus;
    if (interim || this->IsForeign()) {
      foreign += interim ? 0 : 1;
      std::string discarded;
      auto more = co_await this->ReadSome(discarded);
      while (more.ok() && *more) {
        discarded.clear();
        more = co_await this->ReadSome(discarded);
      }
      if (!more.ok()) {
        co_return more.status();
      }
      continue;
    }
    AnswerHead head;
    head.status = status;
    for (const auto& field : message) {
      const auto name = field.name_string();
      const auto value = field.value();
      head.headers.push_back(
        { std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
    }
    co_return head;
  }
  co_return core::MakeError(errors::kBadAnswer, "answers to other requests only");
}

Task<absl::StatusOr<bool>>
TargetCall::ReadSome(std::string& aBody)
{
  if (this->parser->is_done()) {
    co_return false;
  }
  auto& body = this->parser->get().body();
  body.data = this->piece.data();
  body.size = this->piece.size();
  ErrorCode error;
  co_await http::async_read_some(
    this->connection->socket, this->connection->buffer, *this->parser, Into(error));
  if (error == http::error::need_buffer) {
    error = {};
  }
  aBody.append(this->piece.data(), this->piece.size() - body.size);
  if (error || this->cancellation.Reason().has_value()) {
    co_return this->CancelledOr(this->Failure(error));
  }
  co_return !this->parser->is_done();
}

Task<absl::StatusOr<std::string>>
TargetCall::ReadAll(std::size_t aMost)
{
  std::string body;
  while (true) {
    const absl::StatusOr<bool> more = co_await this->ReadSome(body);
    if (!more.ok()) {
      co_return more.status();
    }
    if (body.size() > aMost) {
      co_return core::MakeError(errors::kBadAnswer, "the answer is too large");
    }
    if (!*more) {
      co_return body;
    }
  }
}

void
TargetCall::Recycle(ConnectionPool& aPool, const net::Address& aAddress)
{
  const bool sound = this->parser != nullptr && this->parser->is_done() &&
                     this->parser->keep_alive() && this->connection->buffer.size() == 0 &&
                     this->connection->socket.is_open();
  if (!sound) {
    return;
  }
  const auto keepAlive = this->parser->get()["Keep-Alive"];
  const auto lifetime = StatedLifetime(std::string_view(keepAlive.data(), keepAlive.size()));
  aPool.Keep(aAddress, std::move(this->connection), lifetime);
}

} // namespace plantainslip::serving

#include "simple_call.hpp"

#include <plantainslip/serving/errors.hpp>

#include "http_head.hpp"

namespace plantainslip::serving {

namespace {

constexpr std::size_t kMaxBodyBytes = 4'194'304;
constexpr std::chrono::milliseconds kMaxIdle{ 20'000 };

struct Exchange
{
  absl::StatusOr<SimpleAnswer> answer;
  bool reused = false;
};

Task<Exchange>
TryOnce(ConnectionPool& aPool,
        const SimpleRequest& aRequest,
        bool aNewConnection,
        Cancellation& aCancel)
{
  const auto maxIdle = aNewConnection ? std::chrono::milliseconds(-1) : kMaxIdle;
  auto connection = co_await aPool.Acquire(aRequest.address, maxIdle, aCancel);
  if (!connection.ok()) {
    co_return Exchange{ connection.status(), false };
  }
  const bool reused = (*connection)->reused;
  TargetCall call(std::move(*connection), "", "", aCancel);
  HeaderList headers;
  headers.push_back({ "Host", aRequest.address.Text() });
  headers.insert(headers.end(), aRequest.headers.begin(), aRequest.headers.end());
  if (!aRequest.body.empty()) {
    headers.push_back({ "Content-Type", "application/json" });
  }
  std::string requestHead =
    FormatRequestHead(aRequest.method, aRequest.path, headers, aRequest.body.size());
  if (aRequest.maySend != nullptr && !aRequest.maySend()) {
    call.ReturnToPool(aPool, aRequest.address);
    co_return Exchange{ core::MakeError(errors::kCancelled, "must not be sent any more"), false };
  }
  const absl::Status sent = co_await call.Send(std::move(requestHead), aRequest.body);
  if (!sent.ok()) {
    co_return Exchange{ sent, reused };
  }
  const auto head = co_await call.ReadHead(false);
  if (!head.ok()) {
    co_return Exchange{ head.status(), reused };
  }
  auto body = co_await call.ReadAll(kMaxBodyBytes);
  if (!body.ok()) {
    co_return Exchange{ body.status(), reused };
  }
  call.ReturnToPool(aPool, aRequest.address);
  SimpleAnswer answer{ head->status, std::move(*body), head->headers };
  co_return Exchange{ std::move(answer), reused };
}

} // namespace

Task<absl::StatusOr<SimpleAnswer>>
SendSimpleRequest(ConnectionPool& aPool, SimpleRequest aRequest)
{
  Cancellation cancellation;
  const TimeLimit limit(co_await asio::this_coro::executor, aRequest.timeout, [&cancellation] {
    cancellation.Cancel(CancelReason::kDeadline);
  });
  Exchange exchange = co_await TryOnce(aPool, aRequest, false, cancellation);
  const bool staleConnection =
    !exchange.answer.ok() && exchange.reused && !cancellation.Reason().has_value();
  if (staleConnection && aRequest.idempotent) {
    exchange = co_await TryOnce(aPool, aRequest, true, cancellation);
  }
  if (!exchange.answer.ok() && cancellation.Reason().has_value()) {
    aPool.CloseIdle(aRequest.address);
    co_return core::MakeError(errors::kTimedOut, aRequest.address.Text() + aRequest.path);
  }
  co_return std::move(exchange.answer);
}

} // namespace plantainslip::serving

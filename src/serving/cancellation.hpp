#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "asio.hpp"

namespace plantainslip::serving {

/// @brief Why a request is cancelled.
enum class CancelReason
{
  kCallerLeft,
  kDeadline,
};

/// @brief Cancels the operations that a request is waiting for. Used on one thread only.
class Cancellation
{
public:
  using Callback = std::function<void()>;

  /// @brief Registers a callback for the cancellation of the request, for the scope's lifetime.
  class Scope
  {
  public:
    Scope(Cancellation& aOwner, Callback aCallback)
      : owner(aOwner)
      , position(aOwner.callbacks.insert(aOwner.callbacks.end(), std::move(aCallback)))
    {
    }
    ~Scope() { this->owner.callbacks.erase(this->position); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    Cancellation& owner;
    std::list<Callback>::iterator position;
  };

  /// @brief Cancels the request and runs the callbacks; further calls have no effect.
  void Cancel(CancelReason aReason)
  {
    if (this->reason.has_value()) {
      return;
    }
    this->reason = aReason;
    for (const Callback& callback : this->callbacks) {
      callback();
    }
  }

  /// @brief Returns the reason, or nothing if the request is not cancelled.
  const std::optional<CancelReason>& Reason() const { return this->reason; }

private:
  std::optional<CancelReason> reason;
  std::list<Callback> callbacks;
};

/// @brief Calls a function after a delay, unless the object is destroyed first.
class TimeLimit
{
public:
  TimeLimit(const asio::any_io_executor& aExecutor,
            std::chrono::nanoseconds aAfter,
            std::function<void()> aOnExpiry)
    : timer(aExecutor, std::chrono::duration_cast<std::chrono::steady_clock::duration>(aAfter))
    , state(std::make_shared<State>())
  {
    this->timer.async_wait(
      [held = this->state, onExpiry = std::move(aOnExpiry)](const ErrorCode& aError) {
        if (!aError && held->armed) {
          held->expired = true;
          onExpiry();
        }
      });
  }
  ~TimeLimit() { this->state->armed = false; }
  TimeLimit(const TimeLimit&) = delete;
  TimeLimit& operator=(const TimeLimit&) = delete;

  /// @brief Returns whether the delay has passed.
  bool Expired() const { return this->state->expired; }

private:
  struct State
  {
    bool armed = true;
    bool expired = false;
  };

  asio::steady_timer timer;
  std::shared_ptr<State> state;
};

/// @brief Waits for a duration.
inline Task<void>
SleepFor(std::chrono::milliseconds aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  ErrorCode ignored;
  co_await timer.async_wait(RedirectError(ignored));
}

/// @brief Waits for a duration or until the request is cancelled.
inline Task<void>
SleepFor(std::chrono::milliseconds aDuration, Cancellation& aCancellation)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  const Cancellation::Scope scope(aCancellation, [&timer] { timer.cancel(); });
  if (!aCancellation.Reason().has_value()) {
    ErrorCode ignored;
    co_await timer.async_wait(RedirectError(ignored));
  }
}

} // namespace plantainslip::serving

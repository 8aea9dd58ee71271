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

/// @brief Cancels whatever a request is waiting for. Used on one thread.
class Cancellation
{
public:
  using Hook = std::function<void()>;

  /// @brief Runs a hook when the request is cancelled, as long as the scope lives.
  class Scope
  {
  public:
    Scope(Cancellation& aOwner, Hook aHook)
      : owner(aOwner)
      , position(aOwner.hooks.insert(aOwner.hooks.end(), std::move(aHook)))
    {
    }
    ~Scope() { this->owner.hooks.erase(this->position); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    Cancellation& owner;
    std::list<Hook>::iterator position;
  };

  /// @brief Cancels once; later calls change nothing.
  void Cancel(CancelReason aReason)
  {
    if (this->reason.has_value()) {
      return;
    }
    this->reason = aReason;
    for (const Hook& hook : this->hooks) {
      hook();
    }
  }

  /// @brief Gives the reason, or nothing while the request is not cancelled.
  const std::optional<CancelReason>& Reason() const { return this->reason; }

private:
  std::optional<CancelReason> reason;
  std::list<Hook> hooks;
};

/// @brief Calls a function after a time, unless the object is destroyed before.
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

  /// @brief Tells whether the time is over.
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

/// @brief Waits for a time, or until the request is cancelled.
inline Task<void>
Pause(std::chrono::milliseconds aTime, Cancellation& aCancellation)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  const Cancellation::Scope scope(aCancellation, [&timer] { timer.cancel(); });
  if (!aCancellation.Reason().has_value()) {
    ErrorCode ignored;
    co_await timer.async_wait(Into(ignored));
  }
}

} // namespace plantainslip::serving

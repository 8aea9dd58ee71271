#pragma once

#include <functional>
#include <queue>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/routing/capacity_estimator.hpp>

namespace plantainslip::bench {

using routing::Seconds;

/// @brief Events in the order of their time; those of one moment in the order of their making.
class Simulation
{
public:
  /// @brief Gives the present moment.
  core::MonotonicTime Now() const { return this->now; }

  /// @brief Gives the time since the beginning.
  Seconds Elapsed() const { return this->now - core::MonotonicTime(); }

  /// @brief Plans an action.
  void After(Seconds aDelay, std::function<void()> aAction)
  {
    const auto delay = std::chrono::duration_cast<core::MonotonicTime::duration>(aDelay);
    this->events.push({ this->now + delay, this->planned++, std::move(aAction) });
  }

  /// @brief Runs all events up to a moment.
  void RunUntil(Seconds aEnd)
  {
    const auto end =
      core::MonotonicTime() + std::chrono::duration_cast<core::MonotonicTime::duration>(aEnd);
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    this->now = end;
  }

private:
  struct Event
  {
    core::MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(this->at, this->order) > std::tie(aOther.at, aOther.order);
    }
  };

  core::MonotonicTime now;
  std::uint64_t planned = 0;
  std::priority_queue<Event> events;
};

} // namespace plantainslip::bench

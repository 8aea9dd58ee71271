#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::authority {

/// @brief Watchdog of a lease term: kills the process at a deadline before its lease ends.
class TermTimer
{
public:
  virtual ~TermTimer() = default;

  /// @brief Sets the time at which the process is killed. Replaces an earlier deadline.
  virtual void Arm(core::MonotonicTime aDeadline) = 0;

  /// @brief Removes the deadline. Called when the process holds no lease.
  virtual void Disarm() = 0;

  /// @brief Creates a kernel timer on CLOCK_BOOTTIME that kills the process with SIGALRM, so that a
  ///        process that was paused past the deadline does not execute another instruction.
  /// @param aClock  the clock of the deadlines; has to outlive the timer
  /// @return the timer, or error 806 (authority.no_term_timer)
  static absl::StatusOr<std::unique_ptr<TermTimer>> Create(const core::Clock& aClock);
};

} // namespace plantainslip::authority

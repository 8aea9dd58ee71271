#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::authority {

/// @brief Ends the process when its lease can no longer be relied on.
class TermTimer
{
public:
  virtual ~TermTimer() = default;

  /// @brief Sets the moment at which the process ends, in place of any set before.
  virtual void Arm(core::MonotonicTime aDeadline) = 0;

  /// @brief Lets the process live on, since it holds no lease.
  virtual void Disarm() = 0;

  /// @brief Makes a timer of the kernel that ends the process by a fatal signal: SIGALRM, on
  ///        CLOCK_BOOTTIME, so that a process that was paused past the deadline runs no further
  ///        instruction of its own.
  /// @param aClock  the clock that deadlines are told by; has to outlive the timer
  /// @return the timer, or error 806 (authority.no_term_timer)
  static absl::StatusOr<std::unique_ptr<TermTimer>> Create(const core::Clock& aClock);
};

} // namespace plantainslip::authority

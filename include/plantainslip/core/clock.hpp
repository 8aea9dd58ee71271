#pragma once

#include <atomic>
#include <chrono>

namespace plantainslip::core {

/// @brief Point in monotonic time, for timeouts and leases.
using MonotonicTime = std::chrono::steady_clock::time_point;
/// @brief Point in calendar time, for records that people read and for keys that hold a time.
using WallTime = std::chrono::system_clock::time_point;

/// @brief Source of time that is passed in wherever a decision depends on time.
/// @note Implementations are safe to call from any thread, in constant time, without errors.
class Clock
{
public:
  virtual ~Clock() = default;

  /// @brief Reads monotonic time.
  /// @return the present moment; never earlier than a previous reading
  virtual MonotonicTime Now() const = 0;

  /// @brief Reads calendar time.
  /// @return the present moment; may step when the machine's clock is set
  virtual WallTime WallNow() const = 0;
};

/// @brief The machine's clocks.
class SystemClock final : public Clock
{
public:
  MonotonicTime Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

/// @brief Clock that stands still until it is moved; for tests and measured scenarios.
class ManualClock final : public Clock
{
public:
  MonotonicTime Now() const override
  {
    return MonotonicTime(std::chrono::nanoseconds(this->elapsed.load()));
  }

  WallTime WallNow() const override
  {
    const std::chrono::nanoseconds sinceStart(this->elapsed.load());
    return kWallStart + std::chrono::duration_cast<WallTime::duration>(sinceStart);
  }

  /// @brief Moves both readings forward.
  /// @param aStep  how far; nanoseconds
  void Advance(std::chrono::nanoseconds aStep) { this->elapsed += aStep.count(); }

private:
  static constexpr WallTime kWallStart = WallTime(std::chrono::seconds(1'700'000'000));
  std::atomic<std::int64_t> elapsed = 0;
};

} // namespace plantainslip::core

#pragma once

#include <map>
#include <mutex>
#include <string>

#include <plantainslip/observe/latency_histogram.hpp>

#include "caller.hpp"

namespace plantainslip::load {

/// @brief Gathers what all callers saw. Safe from any thread; no errors.
class Tally
{
public:
  /// @brief Counts one call. Linear in the number of its tokens.
  void Count(const PlannedRequest& aRequest, const CallResult& aResult);

  /// @brief Counts a call that began late, since all threads were busy.
  void CountLateStart();

  /// @brief Tells whether no caller got a wrong or silently cut answer.
  bool AllAnswersRight() const;

  /// @brief Writes the table for people. Linear in the number of reasons.
  /// @param aElapsed  length of the run
  /// @param aRoleChanges  role changes that were seen meanwhile; negative if nobody looked
  std::string Table(std::chrono::nanoseconds aElapsed, std::int64_t aRoleChanges) const;

  /// @brief Writes the same figures as one JSON object for programs.
  std::string Json(std::chrono::nanoseconds aElapsed, std::int64_t aRoleChanges) const;

private:
  mutable std::mutex mutex;
  std::map<CallEnd, std::uint64_t> ends;
  std::map<std::string, std::uint64_t> reasons;
  std::uint64_t calls = 0;
  std::uint64_t lateStarts = 0;
  std::uint64_t tokens = 0;
  std::uint64_t goodRequests = 0;
  std::uint64_t goodTokens = 0;
  observe::LatencyHistogram firstToken;
  observe::LatencyHistogram tokenGap;
  observe::LatencyHistogram wholeAnswer;
};

} // namespace plantainslip::load

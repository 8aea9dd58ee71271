#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/net/address.hpp>

#include "scenario.hpp"

namespace plantainslip::load {

/// @brief How one request ended, as its caller saw it.
enum class CallEnd
{
  /// @brief The whole answer came and is right byte for byte.
  kRight,
  /// @brief An answer came to its end marker and is wrong.
  kWrong,
  /// @brief A refusal that says that nothing ran.
  kRefused,
  /// @brief A truthful failure: an error event or a problem whose outcome is not `not_run`.
  kFailed,
  /// @brief The answer ended without an end marker or an error, which a caller cannot tell apart
  ///        from a whole one.
  kCut,
  /// @brief No connection.
  kUnreachable,
};

/// @brief What one caller saw.
struct CallResult
{
  CallEnd end = CallEnd::kUnreachable;
  /// @brief Reason of a refusal or failure, such as `701 requests.bad_request`.
  std::string reason;
  std::uint64_t tokens = 0;
  /// @brief From the planned moment of arrival, so that a late start counts.
  std::chrono::nanoseconds firstToken{ 0 };
  std::chrono::nanoseconds wholeAnswer{ 0 };
  std::vector<std::chrono::nanoseconds> gaps;
};

/// @brief Sends one streamed request and reads and checks its answer. Blocks until its end.
/// @param aEntry  entry instance
/// @param aScenario  names the deployment and the right answers
/// @param aRequest  what to ask for
/// @param aPlannedAt  moment of arrival
/// @param aClock  measures
CallResult
CallEntry(const net::Address& aEntry,
          const Scenario& aScenario,
          const PlannedRequest& aRequest,
          core::MonotonicTime aPlannedAt,
          const core::Clock& aClock);

/// @brief Judges the bytes of one answer of server-sent events. Linear in their length.
/// @param aExpected  model and version of every right answer
/// @param aReceived  the body as it was received
/// @return end, reason and tokens; the times are left empty
CallResult
JudgeAnswer(const std::vector<std::string>& aExpected,
            const PlannedRequest& aRequest,
            const std::string& aReceived);

} // namespace plantainslip::load

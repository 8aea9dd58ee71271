#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <plantainslip/core/outcome.hpp>

namespace plantainslip::harness {

/// @brief What one caller saw of one request for tokens.
struct AnswerEvent
{
  std::string caller;
  /// @brief What the engine should have said.
  std::string expected;
  std::string received;
  /// @brief Whether the caller was told that the answer is whole.
  bool whole = false;
  /// @brief Outcome that a refusal or failure stated; nothing if the connection just broke.
  std::optional<core::Outcome> refusal;
};

/// @brief What one caller saw of one call that may run at most once.
struct PaymentEvent
{
  std::string key;
  /// @brief Whether the caller got the service's answer.
  bool answered = false;
  /// @brief Outcome that a refusal or failure stated; nothing if the connection just broke.
  std::optional<core::Outcome> refusal;
};

/// @brief One order as an engine recorded it, in the order of arrival.
struct OrderEvent
{
  std::string engine;
  std::string order;
  std::uint64_t token = 0;
  /// @brief Whether the order began to take effect.
  bool accepted = false;
  /// @brief Requests that the engine was working on when the order arrived.
  std::uint64_t running = 0;
};

/// @brief A configuration version that an instance had in force, in the order of observation.
struct VersionEvent
{
  std::string instance;
  std::uint64_t version = 0;
};

/// @brief What one operator was told of one patch.
struct PatchEvent
{
  std::string patch;
  /// @brief Version that the patch was accepted as; nothing if it was not accepted.
  std::optional<std::uint64_t> accepted;
  /// @brief Whether the operator was told that the patch was refused.
  bool refused = false;
};

/// @brief One piece of work that began at a target.
struct WorkEvent
{
  std::string target;
  std::int64_t startedAtMs = 0;
};

/// @brief What callers, operators, targets and instances saw of one run. Recorded from many
///        threads, read after the run.
class History
{
public:
  void Add(AnswerEvent aEvent) { this->Append(this->answers, std::move(aEvent)); }
  void Add(PaymentEvent aEvent) { this->Append(this->payments, std::move(aEvent)); }
  void Add(OrderEvent aEvent) { this->Append(this->orders, std::move(aEvent)); }
  void Add(VersionEvent aEvent) { this->Append(this->versions, std::move(aEvent)); }
  void Add(PatchEvent aEvent) { this->Append(this->patches, std::move(aEvent)); }
  void Add(WorkEvent aEvent) { this->Append(this->work, std::move(aEvent)); }

  std::vector<AnswerEvent> answers;
  std::vector<PaymentEvent> payments;
  std::vector<OrderEvent> orders;
  std::vector<VersionEvent> versions;
  std::vector<PatchEvent> patches;
  std::vector<WorkEvent> work;
  /// @brief Runs of each key, as the plain service counted them.
  std::map<std::string, int> runs;
  /// @brief Patches of the final configuration's history with their versions.
  std::map<std::string, std::uint64_t> acceptedPatches;
  /// @brief When each target was first marked as leaving.
  std::map<std::string, std::int64_t> leavingSinceMs;

private:
  template<typename Event>
  void Append(std::vector<Event>& aEvents, Event aEvent)
  {
    const std::scoped_lock lock(this->mutex);
    aEvents.push_back(std::move(aEvent));
  }

  std::mutex mutex;
};

/// @brief Promises that a history breaks, one line each; empty if it breaks none.
using Violations = std::vector<std::string>;

/// @brief Joins violations to one text, for the report of a test that fails.
std::string
Describe(const Violations& aViolations);

/// @brief A whole answer is the answer to the caller's own request; no answer is more than a part.
Violations
CheckAnswers(const History& aHistory);

/// @brief Every request that was open while planned changes went on was answered whole.
Violations
CheckNothingCut(const History& aHistory);

/// @brief No key runs more than once, and an answered key ran.
Violations
CheckAtMostOnce(const History& aHistory);

/// @brief A key whose every caller was told "not run" has no run.
Violations
CheckNotRunIsTrue(const History& aHistory);

/// @brief An engine takes no two orders of one authority at once, and none while it works.
Violations
CheckOrders(const History& aHistory);

/// @brief An order with an older fencing token than one seen before has no effect.
Violations
CheckAuthority(const History& aHistory);

/// @brief No instance goes back to an earlier version.
Violations
CheckVersionsNeverRevert(const History& aHistory);

/// @brief Accepted patches are in the final history, refused ones are not, and no version has two.
Violations
CheckPatches(const History& aHistory);

/// @brief A leaving target gets no new work after a time.
/// @param aBoundMs  longest time from the mark to the last new work; milliseconds
Violations
CheckLeaving(const History& aHistory, std::int64_t aBoundMs);

} // namespace plantainslip::harness

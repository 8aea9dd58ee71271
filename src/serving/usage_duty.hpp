#pragma once

#include <functional>
#include <set>

#include <plantainslip/usage/usage_agent.hpp>

#include "async_store.hpp"
#include "duty.hpp"
#include "path_metrics.hpp"

namespace plantainslip::serving {

/// @brief What the usage duty decides by.
struct UsageInput
{
  usage::FleetTime now{ 0 };
  std::vector<usage::ClosedWindow> ready;
  usage::Progress progress;
};

/// @brief Reports the requests of each usage window to the platform, at most once with different
///        contents: a report is written to the store before it is sent, and a holder that finds it
///        there repeats exactly that one.
class UsageDuty final : public Duty
{
public:
  using OnProgress = std::function<void(const usage::Progress&)>;

  /// @param aOnProgress  called after a report was written or answered
  UsageDuty(AsyncStore& aStore,
            const DutyCodec& aCodec,
            PathMetrics& aMetrics,
            const core::Clock& aClock,
            const usage::WindowRules& aRules,
            OnProgress aOnProgress);

  /// @brief Sets the windows that can be reported; about once a second.
  void SetInput(UsageInput aInput) { this->input = std::move(aInput); }

  Task<void> Perform(DutyCalls& aCalls, DutyInput aInput) override;
  void OnLeaseLost() override;

private:
  /// @brief A report of this instance's making or one that was found in the store.
  struct Report
  {
    std::string body;
    /// @brief Whether the store has it in this term of the lease.
    bool isWritten = false;
    /// @brief Whether it may have been sent to the platform.
    bool isSent = false;
  };

  Task<bool> ReadWritten();
  Task<bool> ReadBack(usage::Window aWindow);
  Task<bool> EnsureWritten(const usage::ClosedWindow& aWindow);
  Task<bool> EnsureLease();
  bool MayMake(usage::Window aWindow) const;
  bool Adopt(usage::Window aWindow, const std::string& aBody);
  void Finish(usage::Window aWindow, const std::string& aOutcome);
  void Announce();

  AsyncStore& store;
  const DutyCodec& codec;
  PathMetrics& metrics;
  const core::Clock& clock;
  usage::WindowRules rules;
  OnProgress onProgress;
  UsageInput input;
  std::map<usage::Window, Report> reports;
  std::set<usage::Window> done;
  usage::Progress progress;
  /// @brief Window whose last call got no answer; only its repeat is sent.
  std::optional<usage::Window> unanswered;
  bool hasReadStore = false;
  /// @brief First window that ends in this term of the lease; earlier ones may have a report that a
  ///        store of a later era has lost.
  usage::Window firstOfTerm;
  std::uint64_t era = 0;
  std::optional<Lease> lease;
  core::MonotonicTime leaseGrantedAt;
};

} // namespace plantainslip::serving

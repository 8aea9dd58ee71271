#pragma once

#include <functional>

#include <plantainslip/core/clock.hpp>

#include "async_store.hpp"

namespace plantainslip::serving {

/// @brief Passes calls on to a store and reports for each whether the store answered it.
class ObservedStore final : public AsyncStore
{
public:
  struct Observer
  {
    /// @brief Called when the store has served a call with its newest data.
    std::function<void()> onAnswered;
    /// @brief Called with the time at which an answer was due, for a call that the store did not
    ///        answer or refused to serve.
    std::function<void(core::MonotonicTime)> onUnanswered;
  };

  ObservedStore(AsyncStore& aStore, const core::Clock& aClock, Observer aObserver)
    : store(aStore)
    , clock(aClock)
    , observer(std::move(aObserver))
  {
  }

  Task<absl::StatusOr<StoreItems>> List(std::string aPrefix, Freshness aFreshness) override;
  Task<absl::StatusOr<StoreItems>> Watch(std::string aPrefix,
                                         StorePosition aAfter,
                                         std::chrono::milliseconds aWait) override;
  Task<absl::StatusOr<StorePosition>> Put(std::string aKey,
                                          std::string aValue,
                                          Lease aLease,
                                          std::optional<core::Revision> aExpected) override;
  Task<absl::StatusOr<Lease>> Grant(std::chrono::milliseconds aDuration) override;
  Task<absl::Status> Renew(Lease aLease) override;

private:
  void Report(const absl::Status& aStatus, core::MonotonicTime aDueAt) const;

  AsyncStore& store;
  const core::Clock& clock;
  Observer observer;
};

} // namespace plantainslip::serving

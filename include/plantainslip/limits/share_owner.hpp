#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/limits/limit_gossip.hpp>
#include <plantainslip/limits/limit_options.hpp>
#include <plantainslip/limits/rate_bucket.hpp>

namespace plantainslip::limits {

/// @brief Leases out the pools of the workspaces that this instance owns. No I/O, one thread.
///
/// The shares that are out, counted with those that an instance may still use, never exceed the
/// pool: a share that is taken from one instance is given to another only after the first has
/// reported that it uses less, or after its lease has ended.
class ShareOwner
{
public:
  explicit ShareOwner(LimitOptions aOptions)
    : options(aOptions)
  {
  }

  /// @brief Answers a report with shares in proportion to demand, as far as the pool is free.
  /// @return one share for each line; linear in the lines and in each workspace's holders
  ShareGrant Handle(const DemandReport& aReport, core::MonotonicTime aNow);

  /// @brief Lets one request through on what is not leased out, or refuses it. Linear in the
  ///        workspace's holders.
  LimitDecision Ask(const LimitAsk& aAsk, core::MonotonicTime aNow);

  /// @brief Forgets leases that have ended. Linear in the number of leases.
  void Prune(core::MonotonicTime aNow);

  /// @brief Gives the number of leases that are kept.
  std::size_t Leases() const;

private:
  struct Lease
  {
    double demand = 0.0;
    /// @brief Largest share that the instance may be using.
    double counted = 0.0;
    core::MonotonicTime until;
  };
  using Leaseholders = std::map<core::InstanceId, Lease>;

  struct Owned
  {
    Leaseholders holders;
    /// @brief Filled by the part of the pool that is not leased out.
    RateBucket unleased;
    core::MonotonicTime askedAt;
  };

  double Unleased(const Owned& aOwned) const;
  void Fill(Owned& aOwned, core::MonotonicTime aNow) const;
  void Settle(Owned& aOwned, core::MonotonicTime aNow) const;

  double GrantShare(Leaseholders& aHolders,
                    const core::InstanceId& aInstance,
                    const DemandLine& aLine,
                    core::MonotonicTime aNow) const;

  LimitOptions options;
  std::unordered_map<std::uint64_t, Owned> owned;
};

} // namespace plantainslip::limits

#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <plantainslip/serving/store_items.hpp>

namespace plantainslip::duties {

/// @brief Reading of a clock that also runs while the machine is suspended (CLOCK_BOOTTIME).
using BootTime = std::chrono::nanoseconds;
using std::chrono::milliseconds;

/// @brief Rules by which an instance holds the fleet's lease.
struct LeaseRules
{
  /// @brief Duration of the lease, counted from before a grant or a renewal was sent.
  milliseconds duration{ 3'000 };
  /// @brief Remaining lease time required to send a call, so that it ends while the lease holds.
  milliseconds margin{ 700 };
  /// @brief Time after the loss of a lease during which the instance does not claim it again.
  milliseconds pauseAfterLoss{ 0 };
  /// @brief Whether a claim without an answer is read back, and a key that still bears the
  ///        instance's name is replaced.
  bool resolvesClaims = false;
};

/// @brief The lease's key as read from the store.
struct SeenKey
{
  std::string value;
  serving::StorePosition position;
  /// @brief Lease that the key is bound to.
  serving::Lease lease;
};

/// @brief State machine of one instance's part in the fleet's lease: claimed, held, lost. Pure: the
///        caller passes readings of the boot-time clock.
///
/// At most one instance holds the lease, as the store writes its key only if it does not exist and
/// removes it when the lease ends. The key's position is the fencing token; it grows with every
/// holder, also across the store's eras. A new holder makes no call for one duration, so all calls
/// of the previous holder are at least that old.
/// @note All functions take constant time.
class LeaseState
{
public:
  LeaseState(std::string aName, const LeaseRules& aRules)
    : name(std::move(aName))
    , rules(aRules)
  {
  }

  bool IsHeld() const { return this->held.has_value(); }
  bool HasLapsed(BootTime aNow) const;

  /// @brief Returns whether the lease is held for longer than the margin.
  bool IsSafe(BootTime aNow) const;

  /// @brief Returns whether a call may be sent now.
  bool MayCall(BootTime aNow) const;

  /// @brief Token of the lease that is held; zero if none is.
  core::FencingToken Token() const;

  /// @brief Returns the store lease to renew, if any; none after Retire().
  std::optional<serving::Lease> LeaseToRenew() const;

  /// @brief Returns whether the instance may try to claim the lease.
  bool MayClaim(BootTime aNow) const;

  /// @brief Returns the revision that the key must have for a claim, zero if it must not exist;
  ///        nullopt if the lease is not free.
  ///
  /// A key that bears this instance's name although it holds no lease is left over, for example
  /// from a write that was carried out late. If it stays for longer than its lease, the lease id
  /// has been granted again in a later era and is renewed by another owner; the key would stay as
  /// long as that.
  std::optional<core::Revision> ClaimableRevision(const std::optional<SeenKey>& aKey,
                                                  BootTime aNow);

  /// @brief Records that the write of a claim is about to be sent.
  /// @param aGrantSentAt  before the grant of its store lease was sent
  void BeginClaim(const serving::Lease& aLease, BootTime aGrantSentAt);

  /// @brief Records that the claim was written.
  void OnClaimWritten(const serving::StorePosition& aPosition, BootTime aNow);

  /// @brief Records that the claim was not and will not be written.
  void OnClaimRefused() { this->claim.reset(); }

  /// @brief Records that the write of the claim got no answer.
  void OnClaimUnanswered();

  /// @brief Returns whether the key must be read to learn the outcome of a claim.
  bool AwaitsReadBack() const { return this->claim.has_value() && this->claim->unanswered; }

  /// @brief Processes the key as it was read after a claim without an answer. The claim counts only
  ///        if the key's value and store lease are this instance's own; it is dropped when its
  ///        store lease has ended, as the store no longer carries out the write then.
  void OnReadBack(const std::optional<SeenKey>& aKey, BootTime aNow);

  /// @brief Drops a claim whose store lease has ended.
  void DropLapsedClaim(BootTime aNow);

  /// @brief Records a successful renewal.
  /// @param aSentAt  before the renewal was sent
  void OnRenewed(BootTime aSentAt);

  /// @brief Ends holding the lease: it has lapsed, ended or been superseded.
  void Lose(BootTime aNow);

  /// @brief Ends holding the lease and leaves it to other instances for a time. The key ends with
  ///        its store lease, which is no longer renewed.
  void GiveUp(BootTime aNow, milliseconds aAbsence);

  /// @brief Neither claims nor renews the lease any more; calls may be sent until it lapses. For an
  ///        instance that is stopping.
  void Retire() { this->retired = true; }

private:
  struct Holding
  {
    serving::Lease lease;
    core::FencingToken token;
    /// @brief Until when the lease holds.
    BootTime safeUntil{ 0 };
    BootTime callsAllowedFrom{ 0 };
  };

  struct Claim
  {
    serving::Lease lease;
    BootTime safeUntil{ 0 };
    bool unanswered = false;
  };

  struct LeftoverKey
  {
    serving::StorePosition position;
    BootTime seenAt{ 0 };
  };

  std::string name;
  LeaseRules rules;
  std::optional<Holding> held;
  std::optional<Claim> claim;
  std::optional<LeftoverKey> leftover;
  BootTime claimsFrom{ 0 };
  bool retired = false;
};

} // namespace plantainslip::duties

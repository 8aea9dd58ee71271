#pragma once

#include <map>
#include <string>

#include <plantainslip/core/random.hpp>
#include <plantainslip/duties/lease_state.hpp>

namespace plantainslip::duties {

/// @brief Decides whether a platform call may be sent now, by its subject and the call rate. Pure.
///
/// At most one call is in flight per subject. A call without an answer may be carried out up to
/// #kMaxCallDelay later; until then only its exact repeat is sent on its subject.
/// @note Logarithmic in the number of subjects that are in use.
class CallRules
{
public:
  /// @brief Time after which a call without an answer is not carried out any more.
  static constexpr milliseconds kMaxCallDelay{ 13'000 };
  /// @brief First pause after the platform stated that there are too many calls, and the longest.
  static constexpr milliseconds kFirstBackoff{ 250 };
  static constexpr milliseconds kMaxBackoff{ 4'000 };
  /// @brief Used fraction of the call rate that the platform states; with the burst, calls of any
  ///        second stay within that rate if it is at least two.
  static constexpr double kUsedRateFraction = 0.6;
  static constexpr double kBurstFraction = 0.4;

  /// @param aCallsPerSecond  calls that the platform accepts from all instances together
  CallRules(double aCallsPerSecond, std::uint64_t aSeed);

  /// @brief Takes a call's place in flight and in the rate.
  /// @param aText  everything that tells the call from others on its subject
  /// @return false if it must not be sent now
  bool TryBegin(const std::string& aSubject, const std::string& aText, BootTime aNow);

  /// @brief Records that the platform stated an outcome, or that the call was not sent.
  void OnEnded(const std::string& aSubject);

  /// @brief Records that the call got no answer.
  void OnUnanswered(const std::string& aSubject, BootTime aNow);

  /// @brief Records that the platform stated that there are too many calls.
  void OnThrottled(BootTime aNow);

  /// @brief Records that the platform accepted a call.
  void OnAccepted() { this->backoff = milliseconds(0); }

private:
  struct Subject
  {
    std::string text;
    bool inFlight = false;
    /// @brief Until when an earlier call may be carried out; zero if all had answers.
    BootTime pendingUntil{ 0 };
  };

  bool TryTakeRate(BootTime aNow);

  double ratePerSecond;
  double burst;
  double available;
  BootTime refilledAt{ 0 };
  milliseconds backoff{ 0 };
  BootTime callsFrom{ 0 };
  core::RandomSource random;
  std::map<std::string, Subject> subjects;
};

/// @brief Decides when a holder whose calls fail leaves the lease to other instances. Pure.
class ReachRules
{
public:
  /// @brief Consecutive failed calls after which the lease is given up; one lost answer is normal.
  static constexpr std::size_t kMaxFailures = 5;
  /// @brief Lease durations during which the instance does not compete after giving up; doubles
  ///        with each further time until a call succeeds, so that an outage of the platform itself
  ///        does not pass the lease on all the time.
  static constexpr int kFirstAbsence = 4;
  static constexpr int kMaxAbsence = 32;

  explicit ReachRules(milliseconds aLeaseDuration)
    : leaseDuration(aLeaseDuration)
  {
  }

  void OnAnswered();

  /// @brief Records a call without an answer.
  /// @return whether to give the lease up
  bool OnFailed(BootTime aNow);

  /// @brief Returns how long to stay absent after giving up now.
  milliseconds NextAbsence();

private:
  milliseconds leaseDuration;
  std::size_t failures = 0;
  BootTime failingSince{ 0 };
  int absence = kFirstAbsence;
};

} // namespace plantainslip::duties

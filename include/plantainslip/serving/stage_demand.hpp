#pragma once

#include <map>
#include <optional>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Work that callers have asked of a service's engines, cumulative since a process started.
///
/// Cumulative values survive lost messages: a reader that missed some sees their work in the next.
struct DemandTotals
{
  /// @brief Completions that have arrived, admitted or not.
  double prompts = 0.0;
  /// @brief Time in which one engine prefills these prompts, in milliseconds.
  double prefillMs = 0.0;
  /// @brief Time that these prompts can wait for their prefill and still be on time, in
  ///        milliseconds.
  double slackMs = 0.0;
  /// @brief Prompt tokens whose cache was handed from a prefilling to a decoding engine.
  double handoverTokens = 0.0;
  /// @brief Prompts whose first event was late, or never came, because of a stage. A prompt that
  ///        both delayed counts in part for each.
  double prefillLate = 0.0;
  double decodeLate = 0.0;
  /// @brief Integral of the open streams over time, in stream-milliseconds.
  double streamMs = 0.0;
  /// @brief Integral of the open streams' prompt tokens over time, in token-milliseconds.
  double streamTokenMs = 0.0;

  /// @brief Adds other totals, multiplied by a factor.
  void Add(const DemandTotals& aOther, double aFactor = 1.0);

  bool operator==(const DemandTotals&) const = default;
};

/// @brief Totals by service.
using DemandTable = std::map<core::ServiceName, DemandTotals>;

/// @brief Totals by the zone of the instances that callers sent the work to.
using ZoneDemandTable = std::map<core::ZoneId, DemandTable>;

/// @brief Counts the demand that one instance sees. Not thread-safe.
class DemandMeter
{
public:
  /// @brief Counts a completion that has arrived. Logarithmic in the number of services.
  /// @param aPrefillMs  expected time in which an engine prefills it, in milliseconds
  /// @param aSlack  time that it can wait for its prefill and still be on time
  void AddPrompt(const core::ServiceName& aService, double aPrefillMs, milliseconds aSlack);

  /// @brief Counts a prompt whose first event was late, by the parts of the delay that the stages
  ///        caused; they add up to 1. Logarithmic in the number of services.
  void AddLate(const core::ServiceName& aService, double aPrefillPart, double aDecodePart);

  /// @brief Counts a stream from now until EndStream(). Logarithmic in the number of services.
  /// @param aHandover  whether its cache is fetched from another engine
  void BeginStream(const core::ServiceName& aService,
                   std::uint64_t aPromptTokens,
                   bool aHandover,
                   core::MonotonicTime aNow);

  /// @brief Stops counting a stream. Logarithmic in the number of services.
  void EndStream(const core::ServiceName& aService,
                 std::uint64_t aPromptTokens,
                 core::MonotonicTime aNow);

  /// @brief Returns the totals up to now. Linear in the number of services.
  DemandTable Totals(core::MonotonicTime aNow) const;

private:
  struct Record
  {
    DemandTotals totals;
    double openStreams = 0.0;
    double openTokens = 0.0;
    core::MonotonicTime integratedAt;

    DemandTotals IntegratedTotals(core::MonotonicTime aNow) const;
    void Integrate(core::MonotonicTime aNow);
  };

  std::map<core::ServiceName, Record> records;
};

/// @brief Sums the demand that all instances see. Not thread-safe.
class FleetDemand
{
public:
  /// @brief Adds what an instance has counted since its last report; smaller totals mean that its
  ///        process was restarted. Logarithmic in the number of instances.
  void SetReport(const core::InstanceId& aInstance,
                 const DemandTable& aTotals,
                 const core::ZoneId& aZone = {});

  /// @brief Drops instances that are gone; their work stays counted. Linear in their number.
  template<typename IsKnown>
  void RemoveUnknown(const IsKnown& aIsKnown)
  {
    std::erase_if(this->reports, [&](const auto& aEntry) { return !aIsKnown(aEntry.first); });
  }

  /// @brief Returns the sum over all instances since the first report of each.
  const DemandTable& Totals() const { return this->sum; }

  /// @brief Returns the sums by the zone of the instances.
  const ZoneDemandTable& ZoneTotals() const { return this->zoneSums; }

  /// @brief Returns whether any instance has seen traffic, also before its first report here.
  bool HasTraffic() const { return this->hasTraffic; }

private:
  std::map<core::InstanceId, DemandTable> reports;
  DemandTable sum;
  ZoneDemandTable zoneSums;
  bool hasTraffic = false;
};

/// @brief Present demand on a service's engines.
struct StageDemand
{
  double promptsPerSecond = 0.0;
  /// @brief Engines that prefilling keeps busy.
  double busyPrefillEngines = 0.0;
  /// @brief Mean prefill time of a prompt, in milliseconds.
  double meanPrefillMs = 0.0;
  /// @brief Mean time that a prompt can wait for its prefill and still be on time, in milliseconds.
  double meanSlackMs = 0.0;
  /// @brief Open streams, and the prompt tokens that they keep in memory.
  double openStreams = 0.0;
  double streamTokens = 0.0;
  double handoverTokensPerSecond = 0.0;
  /// @brief Shares of the prompts that each stage made late, at the present split.
  double prefillLateShare = 0.0;
  double decodeLateShare = 0.0;
};

/// @brief Present demand by the zone of the instances that callers sent it to.
using ZoneDemand = std::map<core::ZoneId, StageDemand>;

/// @brief Estimates the present demand of one service from its totals, as a moving average.
class DemandEstimator
{
public:
  /// @brief Time constant of the moving average: long enough that some hundred prompts arrive at a
  ///        small fleet, short against the minutes within which the mix shifts.
  static constexpr milliseconds kTimeConstant{ 4'000 };
  /// @brief Min time between two readings.
  static constexpr milliseconds kMinInterval{ 250 };
  /// @brief Traffic that must have been seen before there is an estimate: at first, caches are
  /// empty
  ///        and no stream has ended.
  static constexpr milliseconds kMinObservation{ 6'000 };

  /// @brief Updates the estimate; readings that follow too closely are ignored. Constant time.
  void Update(const DemandTotals& aTotals, core::MonotonicTime aNow);

  /// @brief Returns the present demand, or nothing before enough traffic was seen.
  std::optional<StageDemand> Current() const;

private:
  DemandTotals last;
  std::optional<core::MonotonicTime> lastAt;
  std::optional<core::MonotonicTime> trafficSince;
  /// @brief Moving average of the totals' growth per second, without the weight of the time before
  ///        the first reading.
  DemandTotals rates;
  double weight = 0.0;
};

} // namespace plantainslip::serving

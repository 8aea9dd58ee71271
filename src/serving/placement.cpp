#include <plantainslip/serving/placement.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include <plantainslip/routing/rendezvous.hpp>

namespace plantainslip::serving {

namespace {

/// Cost of using another zone: the round trip and the price of the traffic, as a delay.
constexpr double kCrossZoneMs = 8.0;
/// Delay per request of the load that failures add (kFailureRequests); for prefill only.
constexpr double kFailureMs = 25.0;
/// Cost of using a part's second home or an engine that is no home, as a delay: the transfer of the
/// part and its price.
constexpr double kSecondHomeMs = 60.0;
constexpr double kNoHomeMs = 160.0;
/// Share of the less urgent tokens at an engine that delays a prompt: about 2 ms per 1,000 tokens,
/// whose prefill takes about 9 ms.
constexpr double kLowerPriorityShare = 0.2;
/// Delay per cache transfer to or from an engine: the time that one takes on a healthy link.
constexpr double kTransferMs = 10.0;
/// Load added for failures, in requests, at a failure rate of 1; proportional to the rate.
constexpr double kFailureRequests = 12.0;
/// Load added for the round trip to another zone, in requests; for plain services.
constexpr double kCrossZoneRequests = 0.6;

using Accepts = std::function<bool(const Target&)>;

// Returns the targets that are accepted, take requests and were not tried; avoided ones only if no
// others are left.
std::vector<const Target*>
FindCandidates(const PlacementView& aView, const TriedTargets& aTried, const Accepts& aAccepts)
{
  std::vector<const Target*> preferred;
  std::vector<const Target*> avoided;
  for (const auto& [id, target] : aView.fleet.targets) {
    const bool tried = std::find(aTried.begin(), aTried.end(), id) != aTried.end();
    if (tried || !aAccepts(target) || aView.notices.IsLeaving(target) ||
        WaitFor(aView, target).count() > 0) {
      continue;
    }
    (aView.health.IsAvoided(id, aView.now) ? avoided : preferred).push_back(&target);
  }
  return preferred.empty() ? avoided : preferred;
}

/// @brief The two engines that a shared part is cached at.
struct Homes
{
  const Target* first = nullptr;
  const Target* second = nullptr;
};

Homes
FindHomes(const std::vector<const Target*>& aCandidates, std::uint64_t aKey)
{
  Homes homes;
  std::uint64_t firstWeight = 0;
  std::uint64_t secondWeight = 0;
  if (aKey == 0) {
    return homes;
  }
  for (const Target* target : aCandidates) {
    const std::uint64_t weight = routing::RendezvousWeight(target->id, aKey);
    if (homes.first == nullptr || weight > firstWeight) {
      homes.second = std::exchange(homes.first, target);
      secondWeight = std::exchange(firstWeight, weight);
    } else if (homes.second == nullptr || weight > secondWeight) {
      homes.second = target;
      secondWeight = weight;
    }
  }
  return homes;
}

// Returns the leaving engine that was a part's home before the current one and so holds the part,
// or nullptr.
const Target*
FindFormerHome(const PlacementView& aView,
               const core::ServiceName& aService,
               const Homes& aHomes,
               std::uint64_t aKey)
{
  const Target* formerHome = nullptr;
  if (aHomes.first == nullptr) {
    return formerHome;
  }
  std::uint64_t highest = routing::RendezvousWeight(aHomes.first->id, aKey);
  for (const auto& [id, target] : aView.fleet.targets) {
    const bool eligible = aView.notices.IsLeaving(target) && target.service == aService &&
                          target.stage == EngineStage::kPrefill &&
                          !aView.health.IsAvoided(id, aView.now);
    const std::uint64_t weight = eligible ? routing::RendezvousWeight(id, aKey) : 0;
    if (weight > highest) {
      highest = weight;
      formerHome = &target;
    }
  }
  return formerHome;
}

double
HomeCost(const Homes& aHomes, const Target& aTarget)
{
  if (aHomes.first == nullptr || &aTarget == aHomes.first) {
    return 0.0;
  }
  return &aTarget == aHomes.second ? kSecondHomeMs : kNoHomeMs;
}

template<typename Cost>
const Target*
FindCheapest(const std::vector<const Target*>& aCandidates, const Cost& aCost)
{
  const Target* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (const Target* target : aCandidates) {
    const double cost = aCost(*target);
    if (cost < least) {
      least = cost;
      best = target;
    }
  }
  return best;
}

} // namespace

std::optional<PrefillPlacement>
ChoosePrefill(const PlacementView& aView,
              const core::ServiceName& aService,
              const PromptInfo& aPrompt,
              milliseconds aSlack,
              const TriedTargets& aTried)
{
  const auto candidates = FindCandidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kPrefill;
  });
  const Homes homes = FindHomes(candidates, SharedKey(aPrompt));
  const auto tokens = static_cast<double>(UnsharedTokens(aPrompt));
  const auto priorityAt = [&](const core::TargetId& aTarget) {
    return PromptPriority(aSlack - kFirstEventDelay - aView.prefill.Duration(aTarget, tokens));
  };
  const auto waitAt = [&](const Target& aTarget, std::size_t aPriority) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    return aView.prefill.Duration(aTarget.id, load.TokensBefore(aPriority));
  };
  // Costs beside the queueing time: less urgent prompts that the engine has begun, and its link.
  const auto contention = [&](const Target& aTarget) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    const double lowerPriorityTokens =
      load.TokensBehind(priorityAt(aTarget.id)) * kLowerPriorityShare;
    return static_cast<double>(aView.prefill.Duration(aTarget.id, lowerPriorityTokens).count()) +
           load.cacheTransfers * kTransferMs;
  };
  const auto wait = [&](const Target& aTarget) { return waitAt(aTarget, priorityAt(aTarget.id)); };
  const Target* const best = FindCheapest(candidates, [&](const Target& aTarget) {
    const auto work = wait(aTarget) + aView.prefill.Duration(aTarget.id, tokens);
    const double failurePenalty =
      aView.health.FailureRate(aTarget.id, aView.now) * kFailureRequests * kFailureMs;
    return static_cast<double>(work.count()) + failurePenalty + contention(aTarget) +
           (aTarget.zone == aView.ownZone ? 0.0 : kCrossZoneMs) + HomeCost(homes, aTarget);
  });
  if (best == nullptr) {
    return std::nullopt;
  }
  PrefillPlacement place;
  place.target = *best;
  const Target* const formerHome = FindFormerHome(aView, aService, homes, SharedKey(aPrompt));
  const Target* const other = best == homes.first ? homes.second : homes.first;
  const Target* const source = formerHome != nullptr ? formerHome : other;
  if (source != nullptr) {
    place.fetchFrom = source->address;
  }
  place.priority = priorityAt(best->id);
  place.queueingTime = wait(*best);
  place.prefillTime = aView.prefill.Duration(best->id, tokens);
  if (place.queueingTime + place.prefillTime + kFirstEventDelay > aSlack) {
    // Late in any case: it must not delay prompts that can still be on time.
    place.priority = kPriorityLevels - 1;
    place.queueingTime = waitAt(*best, place.priority);
  }
  place.tokens = tokens;
  return place;
}

double
EngineMemory(const FleetSnapshot& aFleet, const core::ServiceName& aService)
{
  if (aFleet.config == nullptr) {
    return 0.0;
  }
  const auto found = aFleet.config->services.find(aService);
  const bool isEngine = found != aFleet.config->services.end() && found->second.engine.has_value();
  return isEngine ? static_cast<double>(found->second.engine->cacheTokens) : 0.0;
}

std::optional<Target>
ChooseDecode(const PlacementView& aView,
             const core::ServiceName& aService,
             const core::ZoneId& aCacheZone,
             const TriedTargets& aTried,
             double aTokens)
{
  const double memory = aTokens > 0.0 ? EngineMemory(aView.fleet, aService) : 0.0;
  const auto candidates = FindCandidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kDecode &&
           (memory <= 0.0 ||
            aView.loads.Total(aTarget.id, aView.now).heldTokens + aTokens <= memory);
  });
  const Target* const best = FindCheapest(candidates, [&](const Target& aTarget) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    const double utilization =
      load.requests / static_cast<double>(std::max<std::uint64_t>(1, aTarget.slots));
    const auto reading = aView.prefill.Duration(aTarget.id, load.TokensBefore(kPriorityLevels - 1));
    const double failureRate = aView.health.FailureRate(aTarget.id, aView.now);
    constexpr double kFullBatchMs = 150.0;
    return (utilization + failureRate) * kFullBatchMs + static_cast<double>(reading.count()) +
           load.cacheTransfers * kTransferMs + (aTarget.zone == aCacheZone ? 0.0 : kCrossZoneMs) +
           (aTarget.zone == aView.ownZone ? 0.0 : kCrossZoneMs);
  });
  return best == nullptr ? std::nullopt : std::optional<Target>(*best);
}

milliseconds
WaitFor(const PlacementView& aView, const Target& aTarget)
{
  if (!aView.notices.HasPauses() && !aView.limits.HasLimits()) {
    return milliseconds(0);
  }
  const TargetProcess process = ProcessOf(aTarget);
  return std::max(aView.notices.PauseLeft(process, aView.now),
                  aView.limits.Wait(process, aView.now));
}

milliseconds
PauseOf(const PlacementView& aView, const core::ServiceName& aService)
{
  std::optional<milliseconds> shortest;
  for (const auto& [id, target] : aView.fleet.targets) {
    if (target.service == aService && target.stage != EngineStage::kPrefill &&
        !aView.notices.IsLeaving(target)) {
      const milliseconds left = WaitFor(aView, target);
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  return shortest.value_or(milliseconds(0));
}

std::optional<Target>
ChoosePlain(const PlacementView& aView,
            const core::ServiceName& aService,
            const TriedTargets& aTried)
{
  const auto candidates = FindCandidates(
    aView, aTried, [&](const Target& aTarget) { return aTarget.service == aService; });
  const Target* const best = FindCheapest(candidates, [&](const Target& aTarget) {
    return aView.loads.Total(aTarget.id, aView.now).requests +
           aView.health.FailureRate(aTarget.id, aView.now) * kFailureRequests +
           (aTarget.zone == aView.ownZone ? 0.0 : kCrossZoneRequests);
  });
  return best == nullptr ? std::nullopt : std::optional<Target>(*best);
}

} // namespace plantainslip::serving

#include <plantainslip/serving/placement.hpp>

#include <algorithm>
#include <functional>
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
/// Cost of a new connection, in requests; about half of a round trip to another zone.
constexpr double kConnectRequests = 0.3;
/// Load of a decode engine with all slots taken, as a delay.
constexpr double kFullBatchMs = 150.0;
/// Requests by which loads of decode engines are not told apart: peers report them with a delay in
/// which each engine gets some.
constexpr double kLoadResolution = 2.0;

using Accepts = std::function<bool(const Target&)>;

/// @brief A target that may be chosen, with its load, which is looked up once.
struct Candidate
{
  const Target* target = nullptr;
  TargetLoad load;
  double failureRate = 0.0;
  double cost = 0.0;
  /// @brief Part of the cost that is due to the target's zone.
  double distance = 0.0;
};
using Candidates = std::vector<Candidate>;

// Returns the targets that are accepted, take requests and were not tried; avoided ones only if no
// others are left.
Candidates
FindCandidates(const PlacementView& aView, const TriedTargets& aTried, const Accepts& aAccepts)
{
  Candidates preferred;
  Candidates avoided;
  for (const auto& [id, target] : aView.fleet.targets) {
    const bool tried = std::find(aTried.begin(), aTried.end(), id) != aTried.end();
    if (tried || !aAccepts(target) || aView.notices.IsLeaving(target) ||
        WaitFor(aView, target).count() > 0) {
      continue;
    }
    Candidates& list = aView.health.IsAvoided(id, aView.now) ? avoided : preferred;
    list.push_back(
      { &target, aView.loads.Total(id, aView.now), aView.health.FailureRate(id, aView.now) });
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
FindHomes(const Candidates& aCandidates, std::uint64_t aKey)
{
  Homes homes;
  std::uint64_t firstWeight = 0;
  std::uint64_t secondWeight = 0;
  if (aKey == 0) {
    return homes;
  }
  for (const Candidate& candidate : aCandidates) {
    const Target* const target = candidate.target;
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

/// @brief Costs that are taken as equal.
struct CostTolerance
{
  /// @brief For a target that is no farther than the cheapest one.
  double load = 0.0;
  /// @brief Added for a target to which a connection can be reused: the cost of a new one.
  double connection = 0.0;
};

// Returns the cheapest target, or nullptr without candidates. Among those that cost about the same,
// one with a reusable connection is preferred, and then always the same one for this instance.
template<typename Cost>
const Candidate*
FindCheapest(const PlacementView& aView,
             Candidates& aCandidates,
             const CostTolerance& aTolerance,
             const Cost& aCost)
{
  const Candidate* cheapest = nullptr;
  for (Candidate& candidate : aCandidates) {
    candidate.cost = aCost(candidate) + candidate.distance;
    if (cheapest == nullptr || candidate.cost < cheapest->cost) {
      cheapest = &candidate;
    }
  }
  const Candidate* best = nullptr;
  std::pair<bool, std::uint64_t> highest;
  for (const Candidate& candidate : aCandidates) {
    const double tolerance = candidate.distance <= cheapest->distance ? aTolerance.load : 0.0;
    const double excess = candidate.cost - cheapest->cost - tolerance;
    if (excess > aTolerance.connection) {
      continue;
    }
    const bool isConnected = aView.connections != nullptr &&
                             aView.connections->HasIdle(candidate.target->address, aView.maxIdle);
    if (excess > 0.0 && !isConnected) {
      continue;
    }
    const std::uint64_t weight =
      aView.affinityKey == 0 ? 0
                             : routing::RendezvousWeight(candidate.target->id, aView.affinityKey);
    const std::pair<bool, std::uint64_t> preference(isConnected, weight);
    if (best == nullptr || preference > highest) {
      highest = preference;
      best = &candidate;
    }
  }
  return best;
}

// Adds the cost of each target that is in another zone than the given one.
void
AddDistances(Candidates& aCandidates, const core::ZoneId& aZone, double aCost)
{
  for (Candidate& candidate : aCandidates) {
    candidate.distance += candidate.target->zone == aZone ? 0.0 : aCost;
  }
}

// Cost of a new connection, as a delay.
double
ConnectMs(const PlacementView& aView)
{
  return aView.connections == nullptr ? 0.0 : aView.connections->ConnectMs();
}

} // namespace

std::optional<PrefillPlacement>
ChoosePrefill(const PlacementView& aView,
              const core::ServiceName& aService,
              const PromptInfo& aPrompt,
              milliseconds aSlack,
              const TriedTargets& aTried)
{
  auto candidates = FindCandidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kPrefill;
  });
  const Homes homes = FindHomes(candidates, SharedKey(aPrompt));
  const auto tokens = static_cast<double>(UnsharedTokens(aPrompt));
  const auto priorityAt = [&](const core::TargetId& aTarget) {
    return PromptPriority(aSlack - kFirstEventDelay - aView.prefill.Duration(aTarget, tokens));
  };
  const auto waitAt = [&](const Candidate& aCandidate, std::size_t aPriority) {
    return aView.prefill.Duration(aCandidate.target->id, aCandidate.load.TokensBefore(aPriority));
  };
  const auto cost = [&](const Candidate& aCandidate) {
    const Target& target = *aCandidate.target;
    const std::size_t priority = priorityAt(target.id);
    const auto work = waitAt(aCandidate, priority) + aView.prefill.Duration(target.id, tokens);
    // Costs beside the queueing time: less urgent prompts that the engine has begun, and its link.
    const double lowerPriorityTokens = aCandidate.load.TokensBehind(priority) * kLowerPriorityShare;
    const double contention =
      static_cast<double>(aView.prefill.Duration(target.id, lowerPriorityTokens).count()) +
      aCandidate.load.cacheTransfers * kTransferMs;
    const double failurePenalty = aCandidate.failureRate * kFailureRequests * kFailureMs;
    return static_cast<double>(work.count()) + failurePenalty + contention +
           HomeCost(homes, target);
  };
  AddDistances(candidates, aView.ownZone, kCrossZoneMs);
  const Candidate* const cheapest =
    FindCheapest(aView, candidates, { 0.0, ConnectMs(aView) }, cost);
  if (cheapest == nullptr) {
    return std::nullopt;
  }
  const Target* const best = cheapest->target;
  PrefillPlacement place;
  place.target = *best;
  const Target* const formerHome = FindFormerHome(aView, aService, homes, SharedKey(aPrompt));
  const Target* const other = best == homes.first ? homes.second : homes.first;
  const Target* const source = formerHome != nullptr ? formerHome : other;
  if (source != nullptr) {
    place.fetchFrom = source->address;
  }
  place.priority = priorityAt(best->id);
  place.queueingTime = waitAt(*cheapest, place.priority);
  place.prefillTime = aView.prefill.Duration(best->id, tokens);
  if (place.queueingTime + place.prefillTime + kFirstEventDelay > aSlack) {
    // Late in any case: it must not delay prompts that can still be on time.
    place.priority = kPriorityLevels - 1;
    place.queueingTime = waitAt(*cheapest, place.priority);
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
  auto candidates = FindCandidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kDecode &&
           (memory <= 0.0 ||
            aView.loads.Total(aTarget.id, aView.now).heldTokens + aTokens <= memory);
  });
  std::uint64_t slots = 1;
  for (const Candidate& candidate : candidates) {
    slots = std::max(slots, candidate.target->slots);
  }
  const CostTolerance tolerance{ kLoadResolution * kFullBatchMs / static_cast<double>(slots),
                                 ConnectMs(aView) };
  const auto cost = [&](const Candidate& aCandidate) {
    const Target& target = *aCandidate.target;
    const TargetLoad& load = aCandidate.load;
    const double utilization =
      load.requests / static_cast<double>(std::max<std::uint64_t>(1, target.slots));
    const auto reading = aView.prefill.Duration(target.id, load.TokensBefore(kPriorityLevels - 1));
    return (utilization + aCandidate.failureRate) * kFullBatchMs +
           static_cast<double>(reading.count()) + load.cacheTransfers * kTransferMs;
  };
  AddDistances(candidates, aView.ownZone, kCrossZoneMs);
  AddDistances(candidates, aCacheZone, kCrossZoneMs);
  const Candidate* const best = FindCheapest(aView, candidates, tolerance, cost);
  return best == nullptr ? std::nullopt : std::optional<Target>(*best->target);
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
  auto candidates = FindCandidates(
    aView, aTried, [&](const Target& aTarget) { return aTarget.service == aService; });
  const auto cost = [&](const Candidate& aCandidate) {
    return aCandidate.load.requests + aCandidate.failureRate * kFailureRequests;
  };
  AddDistances(candidates, aView.ownZone, kCrossZoneRequests);
  const Candidate* const best = FindCheapest(aView, candidates, { 0.0, kConnectRequests }, cost);
  return best == nullptr ? std::nullopt : std::optional<Target>(*best->target);
}

} // namespace plantainslip::serving

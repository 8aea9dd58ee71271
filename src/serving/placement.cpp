#include <plantainslip/serving/placement.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include <plantainslip/routing/rendezvous.hpp>

namespace plantainslip::serving {

namespace {

/// Cost of leaving the zone: the round trip and the price of the bytes, as a delay.
constexpr double kOtherZoneMs = 8.0;
/// Cost of leaving a part's home: the transfer and its price, as a delay.
constexpr double kFailureMs = 25.0;
constexpr double kSecondHomeMs = 60.0;
constexpr double kNoHomeMs = 160.0;
/// Time from the end of reading to the first event at the caller.
constexpr milliseconds kAfterReading{ 95 };
/// Part of the less urgent tokens at an engine that delays a prompt: measured as about 2 ms for
/// 1,000 tokens, which take about 9 ms to read.
constexpr double kLessUrgentShare = 0.2;
/// Delay by a cache on its way to or from an engine: the time that one takes on a sound link.
constexpr double kHandoverMs = 10.0;
/// Load that a target's failures count as: a target that fails every time looks this much busier.
constexpr double kFailureRequests = 12.0;
/// Part of a request that the other zone's round trip counts as for plain services.
constexpr double kOtherZoneRequests = 0.6;

using Accepts = std::function<bool(const Target&)>;

// Passes over avoided targets unless they are all that is left.
std::vector<const Target*>
Candidates(const PlacementView& aView, const TriedTargets& aTried, const Accepts& aAccepts)
{
  std::vector<const Target*> good;
  std::vector<const Target*> avoided;
  for (const auto& [id, target] : aView.fleet.targets) {
    const bool tried = std::find(aTried.begin(), aTried.end(), id) != aTried.end();
    if (target.leaving || tried || !aAccepts(target)) {
      continue;
    }
    (aView.health.Avoided(id, aView.now) ? avoided : good).push_back(&target);
  }
  return good.empty() ? avoided : good;
}

/// @brief The two engines that a shared part is kept at.
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

// The leaving engine that was the home of a part before the one that is now, and so holds it.
const Target*
FindFormerHome(const PlacementView& aView,
               const core::ServiceName& aService,
               const Homes& aHomes,
               std::uint64_t aKey)
{
  const Target* former = nullptr;
  if (aHomes.first == nullptr) {
    return former;
  }
  std::uint64_t highest = routing::RendezvousWeight(aHomes.first->id, aKey);
  for (const auto& [id, target] : aView.fleet.targets) {
    const bool gives = target.leaving && target.service == aService &&
                       target.stage == EngineStage::kPrefill &&
                       !aView.health.Avoided(id, aView.now);
    const std::uint64_t weight = gives ? routing::RendezvousWeight(id, aKey) : 0;
    if (weight > highest) {
      highest = weight;
      former = &target;
    }
  }
  return former;
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
Cheapest(const std::vector<const Target*>& aCandidates, const Cost& aCost)
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

std::optional<PrefillPlace>
ChoosePrefill(const PlacementView& aView,
              const core::ServiceName& aService,
              const PromptFacts& aPrompt,
              milliseconds aSlack,
              const TriedTargets& aTried)
{
  const auto candidates = Candidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kPrefill;
  });
  const Homes homes = FindHomes(candidates, SharedKey(aPrompt));
  const auto tokens = static_cast<double>(OwnTokens(aPrompt));
  const auto priorityAt = [&](const core::TargetId& aTarget) {
    return PromptPriority(aSlack - kAfterReading - aView.prefill.Duration(aTarget, tokens));
  };
  const auto waitAt = [&](const Target& aTarget, std::size_t aPriority) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    return aView.prefill.Duration(aTarget.id, load.TokensBefore(aPriority));
  };
  // Beside the wait: less urgent prompts that the engine has begun to read, and its link.
  const auto disturbance = [&](const Target& aTarget) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    const double behind = load.TokensBehind(priorityAt(aTarget.id)) * kLessUrgentShare;
    return static_cast<double>(aView.prefill.Duration(aTarget.id, behind).count()) +
           load.handovers * kHandoverMs;
  };
  const auto wait = [&](const Target& aTarget) { return waitAt(aTarget, priorityAt(aTarget.id)); };
  const Target* const best = Cheapest(candidates, [&](const Target& aTarget) {
    const auto work = wait(aTarget) + aView.prefill.Duration(aTarget.id, tokens);
    const double failing = aView.health.FailureRate(aTarget.id) * kFailureRequests * kFailureMs;
    return static_cast<double>(work.count()) + failing + disturbance(aTarget) +
           (aTarget.zone == aView.ownZone ? 0.0 : kOtherZoneMs) + HomeCost(homes, aTarget);
  });
  if (best == nullptr) {
    return std::nullopt;
  }
  PrefillPlace place;
  place.target = *best;
  const Target* const former = FindFormerHome(aView, aService, homes, SharedKey(aPrompt));
  const Target* const other = best == homes.first ? homes.second : homes.first;
  const Target* const source = former != nullptr ? former : other;
  if (source != nullptr) {
    place.fetchFrom = source->address;
  }
  place.priority = priorityAt(best->id);
  place.wait = wait(*best);
  place.reading = aView.prefill.Duration(best->id, tokens);
  if (place.wait + place.reading + kAfterReading > aSlack) {
    // Late whatever happens: it must not delay what can still be on time.
    place.priority = kPriorityLevels - 1;
    place.wait = waitAt(*best, place.priority);
  }
  place.tokens = tokens;
  return place;
}

std::optional<Target>
ChooseDecode(const PlacementView& aView,
             const core::ServiceName& aService,
             const core::ZoneId& aNear,
             const TriedTargets& aTried)
{
  const auto candidates = Candidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kDecode;
  });
  const Target* const best = Cheapest(candidates, [&](const Target& aTarget) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    const double busy =
      load.requests / static_cast<double>(std::max<std::uint64_t>(1, aTarget.slots));
    const auto reading = aView.prefill.Duration(aTarget.id, load.TokensBefore(kPriorityLevels - 1));
    const double failing = aView.health.FailureRate(aTarget.id);
    constexpr double kFullBatchMs = 150.0;
    return (busy + failing) * kFullBatchMs + static_cast<double>(reading.count()) +
           load.handovers * kHandoverMs + (aTarget.zone == aNear ? 0.0 : kOtherZoneMs) +
           (aTarget.zone == aView.ownZone ? 0.0 : kOtherZoneMs);
  });
  return best == nullptr ? std::nullopt : std::optional<Target>(*best);
}

std::optional<Target>
ChoosePlain(const PlacementView& aView,
            const core::ServiceName& aService,
            const TriedTargets& aTried)
{
  const auto candidates =
    Candidates(aView, aTried, [&](const Target& aTarget) { return aTarget.service == aService; });
  const Target* const best = Cheapest(candidates, [&](const Target& aTarget) {
    return aView.loads.Total(aTarget.id, aView.now).requests +
           aView.health.FailureRate(aTarget.id) * kFailureRequests +
           (aTarget.zone == aView.ownZone ? 0.0 : kOtherZoneRequests);
  });
  return best == nullptr ? std::nullopt : std::optional<Target>(*best);
}

} // namespace plantainslip::serving

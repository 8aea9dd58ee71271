#include <plantainslip/serving/placement.hpp>

#include <algorithm>
#include <functional>
#include <limits>

#include <plantainslip/routing/rendezvous.hpp>

namespace plantainslip::serving {

namespace {

/// Cost of leaving the zone: the round trip and the price of the bytes, as a delay.
constexpr double kOtherZoneMs = 8.0;
/// Cost of leaving a part's home: the transfer and its price, as a delay.
constexpr double kOtherHomeMs = 25.0;
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

const Target*
Home(const std::vector<const Target*>& aCandidates, std::uint64_t aKey)
{
  const auto weight = [&](const Target* aTarget) {
    return routing::RendezvousWeight(aTarget->id, aKey);
  };
  const auto home = std::max_element(
    aCandidates.begin(), aCandidates.end(), [&](const Target* aLeft, const Target* aRight) {
      return weight(aLeft) < weight(aRight);
    });
  return home == aCandidates.end() ? nullptr : *home;
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
              const TriedTargets& aTried)
{
  const auto candidates = Candidates(aView, aTried, [&](const Target& aTarget) {
    return aTarget.service == aService && aTarget.stage == EngineStage::kPrefill;
  });
  const std::uint64_t key = SharedKey(aPrompt);
  const Target* const home = key == 0 ? nullptr : Home(candidates, key);
  const auto tokens = static_cast<double>(OwnTokens(aPrompt));
  const auto wait = [&](const Target& aTarget) {
    const TargetLoad load = aView.loads.Total(aTarget.id, aView.now);
    return aView.prefill.Duration(aTarget.id, load.prefillTokens);
  };
  const Target* const best = Cheapest(candidates, [&](const Target& aTarget) {
    const auto work = wait(aTarget) + aView.prefill.Duration(aTarget.id, tokens);
    const double failing = aView.health.FailureRate(aTarget.id) * kFailureRequests * kOtherHomeMs;
    return static_cast<double>(work.count()) + failing +
           (aTarget.zone == aView.ownZone ? 0.0 : kOtherZoneMs) +
           (home == nullptr || &aTarget == home ? 0.0 : kOtherHomeMs);
  });
  if (best == nullptr) {
    return std::nullopt;
  }
  PrefillPlace place;
  place.target = *best;
  if (home != nullptr && home != best) {
    place.fetchFrom = home->address;
  }
  place.wait = wait(*best);
  place.reading = aView.prefill.Duration(best->id, tokens);
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
    const auto reading = aView.prefill.Duration(aTarget.id, load.prefillTokens);
    const double failing = aView.health.FailureRate(aTarget.id);
    constexpr double kFullBatchMs = 150.0;
    return (busy + failing) * kFullBatchMs + static_cast<double>(reading.count()) +
           (aTarget.zone == aNear ? 0.0 : kOtherZoneMs) +
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

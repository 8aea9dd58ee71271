#include <algorithm>
#include <map>

#include <plantainslip/routing/choose_target.hpp>
#include <plantainslip/routing/errors.hpp>
#include <plantainslip/routing/prompt_pieces.hpp>
#include <plantainslip/routing/rendezvous.hpp>

namespace plantainslip::routing {

namespace {

using control::EngineView;

bool
HasAdapter(const targets::EngineReport& aReport, const std::string& aAdapter)
{
  return aAdapter.empty() ||
         std::find(aReport.adapters.begin(), aReport.adapters.end(), aAdapter) !=
           aReport.adapters.end();
}

bool
CanServe(const EngineView& aEngine,
         const EngineQuery& aQuery,
         const config::Deployment& aDeployment)
{
  if (aEngine.zone != aQuery.zone || aEngine.deployment != aQuery.deployment || aEngine.leaving) {
    return false;
  }
  if (!aEngine.report.has_value() || aEngine.report->changing) {
    return false;
  }
  const bool rightVersion = aQuery.version.empty() || aEngine.report->version == aQuery.version;
  const bool rightModel = aEngine.report->model == aDeployment.model;
  return rightModel && rightVersion && HasAdapter(*aEngine.report, aQuery.adapter) &&
         !aQuery.excluded.contains(aEngine.target);
}

// The load balancer distributes callers evenly, so each instance of the availability zone sends
// about the same number of requests.
double
CountInstances(const control::FleetView& aView, const core::ZoneId& aZone)
{
  const auto count =
    std::count_if(aView.entries.begin(), aView.entries.end(), [&](const auto& aEntry) {
      return aEntry.zone == aZone && !aEntry.leaving;
    });
  return std::max(1.0, static_cast<double>(count));
}

// Corrects the reported load, which is older than the report, for requests sent and completed
// since.
double
EstimateOutstanding(const EngineView& aEngine, const RoutingInputs& aInputs, double aInstances)
{
  const core::MonotonicTime measuredAt = aEngine.reportedAt - aInputs.options.reportLag;
  const auto reported = static_cast<double>(aEngine.report->running + aEngine.report->queued);
  const auto change = static_cast<double>(aInputs.inFlight.ChangeSince(aEngine.target, measuredAt));
  const auto own = static_cast<double>(aInputs.inFlight.Count(aEngine.target));
  return std::max(reported + change * aInstances, own);
}

// A prefill engine is slow at decoding, a decode engine at prefill.
Seconds
RoleMismatchCost(const RankedEngine& aRanked,
                 const EngineQuery& aQuery,
                 Seconds aPrefill,
                 double aPenalty)
{
  const Seconds decode =
    aRanked.capacity.tokenInterval *
    (static_cast<double>(aQuery.maxTokens.Number()) * aRanked.capacity.outputLengthRatio);
  switch (aRanked.engine.report->role) {
    case targets::EngineRole::kPrefill:
      return decode * aPenalty;
    case targets::EngineRole::kDecode:
      return aPrefill * aPenalty;
    default:
      return Seconds(0.0);
  }
}

// Caches the prompt's piece hashes per model version: hashes depend on the version, and only a few
// versions are loaded at the same time.
class PieceHashCache
{
public:
  explicit PieceHashCache(const EngineQuery& aQuery)
    : query(aQuery)
  {
  }

  const std::vector<std::uint64_t>& Get(const targets::EngineReport& aReport)
  {
    const auto [found, added] = this->byVersion.try_emplace(aReport.version);
    if (added) {
      found->second =
        HashPieces({ aReport.model, aReport.version, this->query.adapter }, this->query.prompt);
    }
    return found->second;
  }

private:
  const EngineQuery& query;
  std::map<std::string, std::vector<std::uint64_t>> byVersion;
};

RankedEngine
EstimateEngine(const EngineView& aEngine,
               const EngineQuery& aQuery,
               const RoutingInputs& aInputs,
               double aInstances,
               const std::vector<std::uint64_t>& aPieces)
{
  RankedEngine ranked;
  ranked.engine = aEngine;
  ranked.pieces = aPieces;
  ranked.capacity = aInputs.capacity.Get(aEngine.target);
  ranked.outstanding = EstimateOutstanding(aEngine, aInputs, aInstances);
  const double slots = ranked.capacity.slots;
  const double queuedAhead = std::max(0.0, ranked.outstanding + 1.0 - slots);
  ranked.queueWait = ranked.capacity.meanSlotTime * (queuedAhead / slots);
  ranked.wait = ranked.queueWait * aInputs.capacity.WaitFactor(aQuery.priority);
  const std::uint64_t held =
    aInputs.prefixes.CountCachedPieces(aEngine.target, aPieces, aInputs.now) * kPieceTokens;
  const std::uint64_t tokens = EstimateTokens(aQuery.prompt).Number();
  ranked.uncached = core::TokenCount(tokens - std::min(tokens, held));
  const Seconds prefill(static_cast<double>(ranked.uncached.Number()) /
                        ranked.capacity.prefillTokensPerSecond);
  // Prefill and decoding share the engine, so both slow down with its load.
  const double share = std::min(1.0, ranked.outstanding / slots);
  ranked.cost =
    ranked.wait + prefill + (prefill + ranked.capacity.tokenInterval) * share +
    RoleMismatchCost(ranked, aQuery, prefill, aInputs.options.roleMismatchPenalty) +
    aInputs.options.failureCost * aInputs.capacity.RecentFailures(aEngine.target, aInputs.now);
  return ranked;
}

void
PreferRendezvousHome(std::vector<RankedEngine>& aEngines, double aPreference)
{
  const auto home =
    std::max_element(aEngines.begin(), aEngines.end(), [](const auto& aLeft, const auto& aRight) {
      return RendezvousWeight(aLeft.engine.target, aLeft.pieces.front()) <
             RendezvousWeight(aRight.engine.target, aRight.pieces.front());
    });
  const Seconds prefill(static_cast<double>(home->uncached.Number()) /
                        home->capacity.prefillTokensPerSecond);
  home->cost -= prefill * aPreference;
  std::iter_swap(aEngines.begin(), home);
}

void
Shuffle(std::vector<RankedEngine>& aEngines, core::RandomSource& aRandom)
{
  for (std::size_t left = aEngines.size(); left > 1; --left) {
    std::swap(aEngines[left - 1], aEngines[aRandom.Below(left)]);
  }
}

bool
IsCheaper(const RankedEngine& aLeft, const RankedEngine& aRight)
{
  return aLeft.cost < aRight.cost;
}

// Sorts the home, the engines with a cached piece and the sample by cost, then the others by cost.
void
SortEngines(std::vector<RankedEngine>& aEngines,
            const EngineQuery& aQuery,
            const RoutingOptions& aOptions)
{
  const std::uint64_t tokens = EstimateTokens(aQuery.prompt).Number();
  const bool hasHome = !aEngines.front().pieces.empty();
  if (hasHome) {
    PreferRendezvousHome(aEngines, aOptions.homePreference);
  }
  const auto afterHome = aEngines.begin() + (hasHome ? 1 : 0);
  const auto rest = std::partition(afterHome, aEngines.end(), [&](const RankedEngine& aEngine) {
    return aEngine.uncached.Number() < tokens;
  });
  const auto sampled = std::min<std::ptrdiff_t>(
    static_cast<std::ptrdiff_t>(aOptions.sampledEngines), std::distance(rest, aEngines.end()));
  std::stable_sort(aEngines.begin(), rest + sampled, IsCheaper);
  std::stable_sort(rest + sampled, aEngines.end(), IsCheaper);
}

} // namespace

absl::StatusOr<std::vector<RankedEngine>>
RankEngines(const control::FleetView& aView,
            const EngineQuery& aQuery,
            const RoutingInputs& aInputs,
            core::RandomSource& aRandom)
{
  if (aView.configuration == nullptr) {
    return core::MakeError(errors::kNoTarget, "no configuration is in force yet");
  }
  const auto deployment = aView.configuration->deployments.find(aQuery.deployment);
  if (deployment == aView.configuration->deployments.end()) {
    return core::MakeError(errors::kUnknownName, aQuery.deployment.Text());
  }
  PieceHashCache pieces(aQuery);
  const double instances =
    aInputs.options.assumeEqualPeerLoad ? CountInstances(aView, aQuery.zone) : 1.0;
  std::vector<RankedEngine> engines;
  for (const EngineView& engine : aView.engines) {
    if (CanServe(engine, aQuery, deployment->second)) {
      engines.push_back(
        EstimateEngine(engine, aQuery, aInputs, instances, pieces.Get(*engine.report)));
    }
  }
  if (engines.empty()) {
    return core::MakeError(errors::kNoTarget, aQuery.deployment.Text());
  }
  Shuffle(engines, aRandom);
  SortEngines(engines, aQuery, aInputs.options);
  return engines;
}

} // namespace plantainslip::routing

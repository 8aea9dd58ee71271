#include <plantainslip/requests/placement.hpp>

#include <plantainslip/routing/choose_peer.hpp>
#include <plantainslip/routing/errors.hpp>

namespace plantainslip::requests {

namespace {

// The random source is shared between threads, so each decision uses its own source seeded from it.
core::RandomSource
ForkRandom(RequestContext& aContext)
{
  const std::scoped_lock lock(aContext.randomMutex);
  return core::RandomSource(aContext.random.Below(std::numeric_limits<std::uint64_t>::max()));
}

std::optional<Placement>
FindEngine(RequestContext& aContext,
           const control::FleetView& aView,
           const PlacementQuery& aQuery,
           core::RandomSource& aRandom,
           PlacementFailure& aFailure)
{
  const core::MonotonicTime now = aContext.clock.Now();
  const CompletionRequest& request = aQuery.request;
  std::set<core::TargetId> excluded = aContext.drainMarks.DrainingTargets();
  excluded.insert(aQuery.failedEngines.begin(), aQuery.failedEngines.end());
  const routing::EngineQuery query{ aContext.zone,    request.deployment,
                                    request.adapter,  aQuery.version,
                                    request.prompt,   request.maxTokens,
                                    request.priority, excluded };
  const routing::RoutingInputs inputs{ aContext.inFlight,
                                       aContext.knowledge.prefixes,
                                       aContext.knowledge.capacity,
                                       now,
                                       aContext.routing };
  const auto ranking = routing::RankEngines(aView, query, inputs, aRandom);
  if (!ranking.ok()) {
    aFailure.cause = ranking.status();
    return std::nullopt;
  }
  if (aQuery.admitted) {
    return Placement{ ranking->front(), std::nullopt };
  }
  const admission::Admission admission = admission::Admit(
    *ranking, { request.priority, request.maxTokens, now, aQuery.deadline }, aContext.admission);
  if (!admission.engine.has_value()) {
    aFailure = { admission.refusal, admission.retryAfter };
    return std::nullopt;
  }
  return Placement{ (*ranking)[*admission.engine], std::nullopt };
}

} // namespace

std::optional<Placement>
FindPlacement(RequestContext& aContext, const PlacementQuery& aQuery, PlacementFailure& aFailure)
{
  const auto view = aContext.board.Current();
  core::RandomSource random = ForkRandom(aContext);
  auto placement = FindEngine(aContext, *view, aQuery, random, aFailure);
  const bool unknown = core::IsError(aFailure.cause, routing::errors::kUnknownName);
  if (placement.has_value() || unknown || !aQuery.maySpill) {
    return placement;
  }
  auto peer = routing::ChoosePeer(
    *view, aContext.zone, aQuery.request.deployment, aQuery.failedPeers, random);
  if (!peer.has_value()) {
    return std::nullopt;
  }
  return Placement{ std::nullopt, std::move(peer) };
}

} // namespace plantainslip::requests

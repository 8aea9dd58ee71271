// Places requests on two engines by the library's decisions alone: the same prompt goes to the
// engine that has its beginning cached, and once all queues are full a request is refused.

#include <iostream>

#include <plantainslip/admission/admission.hpp>
#include <plantainslip/routing/prompt_pieces.hpp>

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

control::EngineView
MakeEngine(const std::string& aName)
{
  control::EngineView engine;
  engine.target = core::TargetId(aName);
  engine.zone = core::ZoneId("sokcho");
  engine.deployment = core::DeploymentName("reader");
  engine.report = targets::EngineReport();
  engine.report->model = "reader-7b";
  engine.report->version = "1";
  return engine;
}

control::FleetView
MakeView()
{
  auto configuration = std::make_shared<config::Configuration>();
  configuration->deployments[core::DeploymentName("reader")] = { "reader-7b", "1", {} };
  control::FleetView view;
  view.configuration = configuration;
  view.engines = { MakeEngine("engine-1"), MakeEngine("engine-2") };
  return view;
}

} // namespace

int
main()
{
  const core::SystemClock clock;
  const std::string dossier(3 * routing::kPieceBytes, 'd');
  const core::TokenCount maxTokens(200);
  const routing::EngineQuery query{
    core::ZoneId("sokcho"), core::DeploymentName("reader"), {}, {}, dossier, maxTokens, 0, {}
  };
  control::FleetView view = MakeView();
  routing::InFlight inFlight;
  routing::PrefixIndex prefixes;
  routing::CapacityEstimator capacity;
  core::RandomSource random(1);
  const core::MonotonicTime now = clock.Now();
  const routing::RoutingInputs inputs{ inFlight, prefixes, capacity, now, {} };
  const core::TargetId holder("engine-2");
  prefixes.AddExpected(holder, routing::HashPieces({ "reader-7b", "1", "" }, dossier), now);

  const auto ranking = routing::RankEngines(view, query, inputs, random);
  if (!ranking.ok() || ranking->front().engine.target != holder) {
    return 1;
  }
  std::cout << "placed on " << ranking->front().engine.target.Text() << "\n";

  for (control::EngineView& engine : view.engines) {
    engine.report->queued = 100;
  }
  const auto full = routing::RankEngines(view, query, inputs, random);
  const admission::Admission refused =
    admission::Admit(*full, { 0, maxTokens, now, now + std::chrono::minutes(1) }, {});
  std::cout << refused.refusal.message() << ", again in " << refused.retryAfter.count() << " s\n";
  return refused.engine.has_value() ? 1 : 0;
}

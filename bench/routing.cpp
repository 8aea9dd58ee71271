// Routing policies on the same arrivals, as load reports lag and cache events are lost; and what
// the loss of an engine does to the others.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>

#include <plantainslip/routing/choose_target.hpp>
#include <plantainslip/routing/rendezvous.hpp>

#include "model/fleet_model.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using bench::Seconds;
using routing::RankedEngine;

constexpr std::uint64_t kSeed = 20261204;
constexpr Seconds kWarmUp(60.0);
constexpr Seconds kEnd(240.0);
constexpr std::size_t kPrefixes = 240;
constexpr std::uint64_t kTailTokens = 1000;
constexpr std::uint64_t kOutputTokens = 60;
constexpr double kRequestsPerSecond = 40.0;
constexpr double kLossRequestsPerSecond = 20.0;
constexpr Seconds kFirstTokenBound(1.1);

enum class Policy
{
  kRandom,
  kLeastLoad,
  kTwoChoices,
  kBoundedRendezvous,
  kIndex,
  kIndexOwnOnly,
  kIndexAll,
  kRing,
  kRendezvous,
};

struct PolicyName
{
  Policy policy;
  const char* name;
};

constexpr PolicyName kPolicies[] = { { Policy::kRandom, "random" },
                                     { Policy::kLeastLoad, "least load" },
                                     { Policy::kTwoChoices, "two choices" },
                                     { Policy::kBoundedRendezvous, "bounded rendezvous" },
                                     { Policy::kIndex, "index (in use)" },
                                     { Policy::kIndexOwnOnly, "index, own sends" },
                                     { Policy::kIndexAll, "index, no sample" } };

// Without regard to load, to show the share that each survivor takes.
constexpr PolicyName kLossPolicies[] = { { Policy::kRing, "ring neighbour" },
                                         { Policy::kRendezvous, "rendezvous" },
                                         { Policy::kIndex, "index (in use)" } };

struct Figures
{
  std::uint64_t heldTokens = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t greatestLoad = 0;
  std::vector<double> firstTokens;
};

// Prompts that share long beginnings: some beginnings are asked for much more often than others.
class PromptSource
{
public:
  explicit PromptSource(core::RandomSource& aRandom)
    : random(aRandom)
  {
    double sum = 0.0;
    for (std::size_t rank = 1; rank <= kPrefixes; ++rank) {
      sum += 1.0 / std::pow(static_cast<double>(rank), 0.8);
      this->cumulated.push_back(sum);
      const std::uint64_t pieces = 2 + this->random.Below(7);
      std::string text = "prefix " + std::to_string(rank) + " ";
      text.resize(pieces * routing::kPieceBytes + kTailTokens * routing::kBytesPerToken, 'x');
      this->prompts.push_back(std::move(text));
    }
  }

  const std::string& Draw()
  {
    const double drawn = this->random.Fraction() * this->cumulated.back();
    const auto found = std::upper_bound(this->cumulated.begin(), this->cumulated.end(), drawn);
    return this->prompts[static_cast<std::size_t>(found - this->cumulated.begin())];
  }

private:
  core::RandomSource& random;
  std::vector<double> cumulated;
  std::vector<std::string> prompts;
};

double
ReportedLoad(const RankedEngine& aEngine)
{
  return static_cast<double>(aEngine.engine.report->running + aEngine.engine.report->queued);
}

const RankedEngine&
ChooseBounded(const std::vector<RankedEngine>& aRanking)
{
  constexpr double kBound = 1.25;
  double total = 1.0;
  for (const RankedEngine& engine : aRanking) {
    total += engine.outstanding;
  }
  const double most = std::ceil(kBound * total / static_cast<double>(aRanking.size()));
  const RankedEngine* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const RankedEngine& engine : aRanking) {
    const auto weight = routing::RendezvousWeight(engine.engine.target, engine.pieces.front());
    if (engine.outstanding < most && weight >= bestWeight) {
      best = &engine;
      bestWeight = weight;
    }
  }
  return best == nullptr ? aRanking.front() : *best;
}

// The prefix's place on the ring of all engines, or the next one that is there.
const RankedEngine&
ChooseOnRing(const std::vector<RankedEngine>& aRanking, const bench::FleetModel& aFleet)
{
  const std::uint64_t home = aRanking.front().pieces.front() % aFleet.Engines();
  const auto distance = [&](const RankedEngine& aEngine) {
    return (aFleet.NumberOf(aEngine.engine.target) + aFleet.Engines() - home) % aFleet.Engines();
  };
  return *std::min_element(
    aRanking.begin(), aRanking.end(), [&](const RankedEngine& aLeft, const RankedEngine& aRight) {
      return distance(aLeft) < distance(aRight);
    });
}

const RankedEngine&
ChooseHome(const std::vector<RankedEngine>& aRanking)
{
  return *std::max_element(
    aRanking.begin(), aRanking.end(), [](const RankedEngine& aLeft, const RankedEngine& aRight) {
      return routing::RendezvousWeight(aLeft.engine.target, aLeft.pieces.front()) <
             routing::RendezvousWeight(aRight.engine.target, aRight.pieces.front());
    });
}

const RankedEngine&
Choose(Policy aPolicy, const std::vector<RankedEngine>& aRanking, core::RandomSource& aRandom)
{
  const auto byLoad = [](const RankedEngine& aLeft, const RankedEngine& aRight) {
    return ReportedLoad(aLeft) < ReportedLoad(aRight);
  };
  const RankedEngine& first = aRanking[aRandom.Below(aRanking.size())];
  const RankedEngine& second = aRanking[aRandom.Below(aRanking.size())];
  switch (aPolicy) {
    case Policy::kRandom:
      return first;
    case Policy::kLeastLoad:
      return *std::min_element(aRanking.begin(), aRanking.end(), byLoad);
    case Policy::kTwoChoices:
      return byLoad(second, first) ? second : first;
    case Policy::kBoundedRendezvous:
      return ChooseBounded(aRanking);
    case Policy::kRendezvous:
      return ChooseHome(aRanking);
    default:
      return aRanking.front();
  }
}

class Scenario
{
public:
  Scenario(Policy aPolicy, const bench::FleetSize& aSize, double aRate)
    : rate(aRate)
    , policy(aPolicy)
    , fleet(this->simulation, aSize, kSeed)
    , arrivals(kSeed + 1)
    , choices(kSeed + 2)
    , prompts(this->arrivals)
  {
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(aSize.reportLag);
    this->options.reportLag = lag;
    this->options.assumeEqualPeerLoad = aPolicy != Policy::kIndexOwnOnly;
    this->options.sampledEngines =
      aPolicy == Policy::kIndexAll ? aSize.engines : this->options.sampledEngines;
  }

  /// @brief Takes an engine out of the views in the middle of the measured time.
  void LoseEngine(std::size_t aNumber)
  {
    this->simulation.After((kWarmUp + kEnd) / 2.0, [this, aNumber] {
      this->fleet.TakeOut(aNumber);
      this->figures = {};
    });
  }

  Figures Run()
  {
    this->Arrive();
    this->simulation.RunUntil(kEnd);
    return std::move(this->figures);
  }

private:
  void Arrive()
  {
    const double gap = -std::log(1.0 - this->arrivals.Fraction()) / this->rate;
    this->simulation.After(Seconds(gap), [this] {
      this->Handle(this->fleet.AnyInstance(), this->prompts.Draw());
      this->Arrive();
    });
  }

  void Handle(bench::InstanceModel& aInstance, const std::string& aPrompt)
  {
    const core::MonotonicTime now = this->simulation.Now();
    const routing::EngineQuery query{ core::ZoneId("a"), core::DeploymentName("d"),       {}, {},
                                      aPrompt,           core::TokenCount(kOutputTokens), 0,  {} };
    const routing::RoutingInputs inputs{ aInstance.inFlight,
                                         aInstance.knowledge.prefixes,
                                         aInstance.knowledge.capacity,
                                         now,
                                         this->options };
    const auto ranking = routing::RankEngines(*aInstance.view, query, inputs, this->choices);
    const RankedEngine& chosen = this->policy == Policy::kRing
                                   ? ChooseOnRing(*ranking, this->fleet)
                                   : Choose(this->policy, *ranking, this->choices);
    this->Send(aInstance, chosen, aPrompt);
  }

  void Send(bench::InstanceModel& aInstance,
            const RankedEngine& aRanked,
            const std::string& aPrompt)
  {
    const core::TargetId target = aRanked.engine.target;
    const core::MonotonicTime begun = this->simulation.Now();
    aInstance.inFlight.Add(target, begun);
    aInstance.knowledge.prefixes.AddExpected(target, aRanked.pieces, begun);
    auto finished = std::make_shared<routing::FinishedAttempt>();
    finished->startedAtOnce = aRanked.wait == Seconds(0.0);
    finished->uncached = aRanked.uncached;
    finished->tokens = finished->maxTokens = core::TokenCount(kOutputTokens);
    bench::EngineJob job;
    job.promptTokens = routing::EstimateTokens(aPrompt).Number();
    job.outputTokens = kOutputTokens;
    job.pieces = aRanked.pieces;
    const std::uint64_t tokens = job.promptTokens;
    job.onFirstToken = [this, finished, begun, tokens](std::uint64_t aHeld) {
      finished->firstToken = this->simulation.Now() - begun;
      this->Count(finished->firstToken, tokens, aHeld * routing::kPieceTokens);
    };
    job.onEnd = [this, &aInstance, target, finished, begun](bool) {
      aInstance.inFlight.Remove(target, this->simulation.Now());
      finished->decode = this->simulation.Now() - begun - finished->firstToken;
      aInstance.knowledge.capacity.RecordAttempt(target, *finished);
    };
    this->fleet.Engine(this->fleet.NumberOf(target)).Submit(std::move(job));
    if (this->simulation.Elapsed() >= kWarmUp) {
      this->figures.greatestLoad = std::max(this->figures.greatestLoad, this->fleet.GreatestLoad());
    }
  }

  void Count(Seconds aFirstToken, std::uint64_t aTokens, std::uint64_t aHeld)
  {
    if (this->simulation.Elapsed() >= kWarmUp) {
      this->figures.firstTokens.push_back(aFirstToken.count());
      this->figures.promptTokens += aTokens;
      this->figures.heldTokens += aHeld;
    }
  }

  double rate;
  Policy policy;
  bench::Simulation simulation;
  bench::FleetModel fleet;
  core::RandomSource arrivals;
  core::RandomSource choices;
  PromptSource prompts;
  routing::RoutingOptions options;
  Figures figures;
};

double
SortForP95(std::vector<double>& aFirstTokens)
{
  constexpr double kShare = 0.95;
  std::sort(aFirstTokens.begin(), aFirstTokens.end());
  const double last = static_cast<double>(aFirstTokens.size() - 1);
  return aFirstTokens[static_cast<std::size_t>(kShare * last)];
}

// The worst of all engines to lose counts.
void
PrintLossRow(const PolicyName& aPolicy)
{
  const bench::FleetSize size;
  double worstP95 = 0.0;
  std::uint64_t greatestLoad = 0;
  for (std::size_t lost = 0; lost < size.engines; ++lost) {
    Scenario scenario(aPolicy.policy, size, kLossRequestsPerSecond);
    scenario.LoseEngine(lost);
    Figures figures = scenario.Run();
    worstP95 = std::max(worstP95, SortForP95(figures.firstTokens));
    greatestLoad = std::max(greatestLoad, figures.greatestLoad);
  }
  std::printf(
    "%-20s %9.2f %9llu\n", aPolicy.name, worstP95, static_cast<unsigned long long>(greatestLoad));
}

void
PrintRow(const PolicyName& aPolicy, double aLag, double aGap)
{
  bench::FleetSize size;
  size.reportLag = Seconds(aLag);
  size.gapShare = aGap;
  Figures figures = Scenario(aPolicy.policy, size, kRequestsPerSecond).Run();
  const double p95 = SortForP95(figures.firstTokens);
  const auto good = std::upper_bound(
    figures.firstTokens.begin(), figures.firstTokens.end(), kFirstTokenBound.count());
  std::printf("%-20s %5.1f %5.0f%% %9.3f %9.1f %9.2f %9llu\n",
              aPolicy.name,
              aLag,
              aGap * 100.0,
              static_cast<double>(figures.heldTokens) / static_cast<double>(figures.promptTokens),
              static_cast<double>(good - figures.firstTokens.begin()) / (kEnd - kWarmUp).count(),
              p95,
              static_cast<unsigned long long>(figures.greatestLoad));
}

// Load of each engine when every prefix goes to one engine.
template<typename Place>
double
GreatestShare(std::size_t aEngines, std::size_t aLost, Place aPlace)
{
  constexpr std::size_t kManyPrefixes = 20'000;
  std::vector<double> load(aEngines, 0.0);
  for (std::size_t prefix = 0; prefix < kManyPrefixes; ++prefix) {
    load[aPlace(prefix, aLost)] += 1.0;
  }
  const double mean = static_cast<double>(kManyPrefixes) / static_cast<double>(aEngines - 1);
  return *std::max_element(load.begin(), load.end()) / mean;
}

void
PrintLoss(std::size_t aEngines)
{
  std::vector<core::TargetId> names;
  for (std::size_t number = 0; number < aEngines; ++number) {
    names.emplace_back("engine-" + std::to_string(number));
  }
  const auto ring = [&](std::size_t aPrefix, std::size_t aLost) {
    const std::size_t home = aPrefix % aEngines;
    return home == aLost ? (home + 1) % aEngines : home;
  };
  const auto rendezvous = [&](std::size_t aPrefix, std::size_t aLost) {
    std::size_t best = aLost == 0 ? 1 : 0;
    for (std::size_t number = 0; number < aEngines; ++number) {
      const bool better = routing::RendezvousWeight(names[number], aPrefix) >
                          routing::RendezvousWeight(names[best], aPrefix);
      best = number != aLost && better ? number : best;
    }
    return best;
  };
  double worstRing = 0.0;
  double worstRendezvous = 0.0;
  for (std::size_t lost = 0; lost < aEngines; ++lost) {
    worstRing = std::max(worstRing, GreatestShare(aEngines, lost, ring));
    worstRendezvous = std::max(worstRendezvous, GreatestShare(aEngines, lost, rendezvous));
  }
  std::printf("%8zu %14.2f %14.2f\n", aEngines, worstRing, worstRendezvous);
}

} // namespace

int
main()
{
  std::printf("seed %llu; 12 engines, 4 instances, 40 requests/s, 240 shared prefixes\n",
              static_cast<unsigned long long>(kSeed));
  std::printf("%-20s %5s %6s %9s %9s %9s %9s\n",
              "policy",
              "lag s",
              "gaps",
              "hits",
              "good/s",
              "p95 s",
              "max load");
  for (const double lag : { 0.0, 0.5, 2.0, 5.0 }) {
    for (const double gap : { 0.0, 0.05, 0.3 }) {
      for (const PolicyName& policy : kPolicies) {
        PrintRow(policy, lag, gap);
      }
    }
  }
  std::printf(
    "\nan engine lost: greatest load of a survivor over the mean, worst engine to lose\n");
  std::printf("%8s %14s %14s\n", "engines", "ring neighbour", "rendezvous");
  for (const std::size_t engines : { 12UL, 20UL, 86UL }) {
    PrintLoss(engines);
  }
  std::printf("\nfirst token after the loss at 20 requests/s, worst of 12 engines to lose\n");
  std::printf("%-20s %9s %9s\n", "policy", "p95 s", "max load");
  for (const PolicyName& policy : kLossPolicies) {
    PrintLossRow(policy);
  }
  return 0;
}

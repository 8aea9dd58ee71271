// Goodput of one zone from 0.5 to 3 times its capacity, with admission and without.

#include <cmath>
#include <cstdio>

#include <plantainslip/admission/admission.hpp>

#include "model/fleet_model.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using bench::Seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr Seconds kWarmUp(30.0);
constexpr Seconds kEnd(150.0);
constexpr std::uint64_t kPromptTokens = 1000;
constexpr std::uint64_t kMeanOutput = 100;
constexpr int kHighPriority = 5;

enum class Policy
{
  kNone,
  kCancelOnly,
  kAdmission,
};

struct Figures
{
  std::uint64_t good = 0;
  std::uint64_t goodHigh = 0;
  std::uint64_t arrivedHigh = 0;
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  std::uint64_t greatestLoad = 0;
};

// Requests with a deadline of 5 s in most cases and 30 s in the others; one in five is urgent.
class Scenario
{
public:
  Scenario(Policy aPolicy, double aLoad)
    : policy(aPolicy)
    , fleet(this->simulation, {}, kSeed)
    , random(kSeed + 1)
  {
    const bench::EngineSize engine;
    const Seconds held =
      engine.tokenInterval * static_cast<double>(kMeanOutput) +
      Seconds(static_cast<double>(kPromptTokens) / engine.prefillTokensPerSecond);
    const double capacity =
      static_cast<double>(this->fleet.Engines() * engine.slots) / held.count();
    this->interval = Seconds(1.0 / (capacity * aLoad));
  }

  Figures Run()
  {
    this->Arrive();
    this->simulation.RunUntil(kEnd);
    return this->figures;
  }

private:
  bool Counts() const { return this->simulation.Elapsed() >= kWarmUp; }

  void Arrive()
  {
    this->simulation.After(this->interval * -std::log(1.0 - this->random.Fraction()), [this] {
      this->Handle();
      this->Arrive();
    });
  }

  void Handle()
  {
    bench::InstanceModel& instance = this->fleet.AnyInstance();
    const core::MonotonicTime now = this->simulation.Now();
    const bool urgent = this->random.Below(5) == 0;
    const Seconds patience(this->random.Below(4) == 0 ? 30.0 : 5.0);
    const auto deadline = now + std::chrono::duration_cast<core::MonotonicTime::duration>(patience);
    const std::uint64_t output = kMeanOutput / 2 + this->random.Below(kMeanOutput + 1);
    const int priority = urgent ? kHighPriority : 0;
    this->figures.arrivedHigh += urgent && this->Counts() ? 1U : 0U;
    const std::string prompt(kPromptTokens * routing::kBytesPerToken, 'p');
    const core::TokenCount maxTokens(output);
    const routing::EngineQuery query{
      core::ZoneId("a"), core::DeploymentName("d"), {}, {}, prompt, maxTokens, priority, {}
    };
    const routing::RoutingInputs inputs{
      instance.inFlight, instance.knowledge.prefixes, instance.knowledge.capacity, now, {}
    };
    const auto ranking = routing::RankEngines(*instance.view, query, inputs, this->random);
    std::optional<std::size_t> chosen = 0;
    if (this->policy == Policy::kAdmission) {
      chosen = admission::Admit(*ranking, { priority, maxTokens, now, deadline }, {}).engine;
    }
    if (!chosen.has_value()) {
      this->figures.refused += this->Counts() ? 1U : 0U;
      return;
    }
    this->Send(instance, (*ranking)[*chosen], output, urgent, deadline);
  }

  void Send(bench::InstanceModel& aInstance,
            const routing::RankedEngine& aRanked,
            std::uint64_t aOutput,
            bool aUrgent,
            core::MonotonicTime aDeadline)
  {
    const core::TargetId target = aRanked.engine.target;
    const core::MonotonicTime begun = this->simulation.Now();
    aInstance.inFlight.Add(target, begun);
    bench::EngineJob job;
    job.promptTokens = kPromptTokens;
    job.outputTokens = aOutput;
    job.priority = aUrgent ? kHighPriority : 0;
    if (this->policy != Policy::kNone) {
      job.cancelAt = aDeadline;
    }
    auto finished = std::make_shared<routing::FinishedAttempt>();
    finished->startedAtOnce = aRanked.wait == Seconds(0.0);
    finished->uncached = aRanked.uncached;
    finished->tokens = finished->maxTokens = core::TokenCount(aOutput);
    const int priority = job.priority;
    const Seconds queueWait = aRanked.queueWait;
    const Seconds prefill = aRanked.cost - aRanked.wait;
    job.onFirstToken = [this, finished, begun](std::uint64_t) {
      finished->firstToken = this->simulation.Now() - begun;
    };
    job.onEnd =
      [this, &aInstance, target, finished, begun, aUrgent, aDeadline, prefill, priority, queueWait](
        bool aWhole) {
        const core::MonotonicTime now = this->simulation.Now();
        aInstance.inFlight.Remove(target, now);
        const bool started = finished->firstToken > Seconds(0.0);
        const Seconds waited = (started ? finished->firstToken : now - begun) - prefill;
        aInstance.knowledge.capacity.RecordWait(priority, queueWait, waited);
        if (aWhole) {
          finished->decode = now - begun - finished->firstToken;
          aInstance.knowledge.capacity.RecordAttempt(target, *finished);
        }
        this->Count(aWhole && now <= aDeadline, aUrgent);
      };
    this->fleet.Engine(this->fleet.NumberOf(target)).Submit(std::move(job));
    this->figures.greatestLoad = std::max(this->figures.greatestLoad, this->fleet.GreatestLoad());
  }

  void Count(bool aGood, bool aUrgent)
  {
    if (this->Counts()) {
      this->figures.good += aGood ? 1U : 0U;
      this->figures.goodHigh += aGood && aUrgent ? 1U : 0U;
      this->figures.late += aGood ? 0 : 1;
    }
  }

  Policy policy;
  bench::Simulation simulation;
  bench::FleetModel fleet;
  core::RandomSource random;
  Seconds interval{ 0.0 };
  Figures figures;
};

void
PrintRow(const char* aName, Policy aPolicy, double aLoad)
{
  const Figures figures = Scenario(aPolicy, aLoad).Run();
  const double seconds = (kEnd - kWarmUp).count();
  const double share =
    static_cast<double>(figures.goodHigh) / static_cast<double>(figures.arrivedHigh);
  std::printf("%-12s %5.1f %10.1f %10.1f %10.1f %10.3f %10llu\n",
              aName,
              aLoad,
              static_cast<double>(figures.good) / seconds,
              static_cast<double>(figures.refused) / seconds,
              static_cast<double>(figures.late) / seconds,
              share,
              static_cast<unsigned long long>(figures.greatestLoad));
}

} // namespace

int
main()
{
  std::printf("seed %llu; 12 engines of 16 slots, 4 instances, reports 0.5 s late\n",
              static_cast<unsigned long long>(kSeed));
  std::printf("%-12s %5s %10s %10s %10s %10s %10s\n",
              "policy",
              "load",
              "good/s",
              "refused/s",
              "late/s",
              "urgent",
              "max load");
  for (const double load : { 0.5, 1.0, 1.5, 2.0, 3.0 }) {
    PrintRow("none", Policy::kNone, load);
    PrintRow("cancel only", Policy::kCancelOnly, load);
    PrintRow("admission", Policy::kAdmission, load);
  }
  return 0;
}

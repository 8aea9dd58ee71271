// One of twelve engines refuses every call at once: how many calls it draws, with its failures as a
// cost and without.

#include <cmath>
#include <cstdio>

#include <plantainslip/admission/admission.hpp>
#include <plantainslip/retries/retry_policy.hpp>

#include "model/fleet_model.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using bench::Seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr Seconds kEnd(120.0);
constexpr double kRequestsPerSecond = 70.0;
constexpr std::uint64_t kPromptTokens = 1000;
constexpr std::uint64_t kOutputTokens = 100;
constexpr std::size_t kFailing = 0;

struct Request
{
  core::MonotonicTime deadline;
  std::uint64_t attempts = 0;
  std::set<core::TargetId> failed;
};

class Scenario
{
public:
  explicit Scenario(Seconds aFailureCost)
    : fleet(this->simulation, {}, kSeed)
    , random(kSeed + 1)
    , prompt(kPromptTokens * routing::kBytesPerToken, 'p')
  {
    this->options.failureCost = aFailureCost;
  }

  void Run(const char* aName)
  {
    this->Arrive();
    this->simulation.RunUntil(kEnd);
    const auto requestCount = static_cast<double>(this->requests);
    std::printf("%-16s %12.3f %12.3f %12.3f\n",
                aName,
                static_cast<double>(this->failures) / requestCount,
                static_cast<double>(this->placed) / requestCount,
                static_cast<double>(this->refused) / requestCount);
  }

private:
  void Arrive()
  {
    const double gap = -std::log(1.0 - this->random.Fraction()) / kRequestsPerSecond;
    this->simulation.After(Seconds(gap), [this] {
      ++this->requests;
      bench::InstanceModel& instance = this->fleet.AnyInstance();
      this->budget.AddRequest();
      this->Try(instance, { this->simulation.Now() + std::chrono::seconds(10), 0, {} });
      this->Arrive();
    });
  }

  void Try(bench::InstanceModel& aInstance, Request aRequest)
  {
    const core::MonotonicTime now = this->simulation.Now();
    const core::TokenCount maxTokens(kOutputTokens);
    const routing::EngineQuery query{
      core::ZoneId("a"), core::DeploymentName("d"), {}, {}, this->prompt, maxTokens, 0,
      aRequest.failed
    };
    const routing::RoutingInputs inputs{ aInstance.inFlight,
                                         aInstance.knowledge.prefixes,
                                         aInstance.knowledge.capacity,
                                         now,
                                         this->options };
    const auto ranking = routing::RankEngines(*aInstance.view, query, inputs, this->random);
    const auto admission = admission::Admit(*ranking, { 0, maxTokens, now, aRequest.deadline }, {});
    if (!admission.engine.has_value()) {
      ++this->refused;
      return;
    }
    const routing::RankedEngine& engine = (*ranking)[*admission.engine];
    ++aRequest.attempts;
    if (this->fleet.NumberOf(engine.engine.target) == kFailing) {
      this->Fail(aInstance, engine.engine.target, std::move(aRequest));
    } else {
      this->Send(aInstance, engine);
    }
  }

  void Fail(bench::InstanceModel& aInstance, const core::TargetId& aTarget, Request aRequest)
  {
    const core::MonotonicTime now = this->simulation.Now();
    ++this->failures;
    aInstance.knowledge.capacity.RecordFailure(aTarget, now);
    aRequest.failed.insert(aTarget);
    const retries::FailedAttempt failed{
      aRequest.attempts, core::Outcome::kNotRun, true, false, aRequest.deadline
    };
    const auto wait = retries::DecideRetry(failed, now, this->budget, this->random);
    if (wait.has_value()) {
      this->simulation.After(Seconds(*wait), [this, &aInstance, request = std::move(aRequest)] {
        this->Try(aInstance, request);
      });
    }
  }

  void Send(bench::InstanceModel& aInstance, const routing::RankedEngine& aRanked)
  {
    ++this->placed;
    const core::TargetId target = aRanked.engine.target;
    aInstance.inFlight.Add(target, this->simulation.Now());
    bench::EngineJob job;
    job.promptTokens = kPromptTokens;
    job.outputTokens = kOutputTokens;
    job.onFirstToken = [](std::uint64_t) {};
    job.onEnd = [this, &aInstance, target](bool) {
      aInstance.inFlight.Remove(target, this->simulation.Now());
    };
    this->fleet.Engine(this->fleet.NumberOf(target)).Submit(std::move(job));
  }

  bench::Simulation simulation;
  bench::FleetModel fleet;
  core::RandomSource random;
  std::string prompt;
  routing::RoutingOptions options;
  retries::RetryBudget budget;
  std::uint64_t requests = 0;
  std::uint64_t placed = 0;
  std::uint64_t failures = 0;
  std::uint64_t refused = 0;
};

} // namespace

int
main()
{
  std::printf("seed %llu; 12 engines, one refuses every call; 70 requests/s for 120 s\n",
              static_cast<unsigned long long>(kSeed));
  std::printf("%-16s %12s %12s %12s\n", "failures cost", "failed calls", "placed", "refused");
  Scenario(Seconds(0.0)).Run("nothing");
  Scenario(routing::RoutingOptions().failureCost).Run("1 s (in use)");
  return 0;
}

// Calls that a failing target gets for each request: no retries, naive retries, the budget in use.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

#include <plantainslip/retries/retry_policy.hpp>

#include "model/simulation.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using bench::Seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr double kRequestsPerSecond = 200.0;
constexpr Seconds kHealthyUntil(30.0);
constexpr Seconds kEnd(150.0);
constexpr std::chrono::seconds kPatience(10);
constexpr double kWindowsPerSecond = 10.0;
constexpr std::uint64_t kNaiveAttempts = 4;

enum class Policy
{
  kNone,
  kNaive,
  kBudget,
};

// One instance before a target that is healthy at first and then fails a share of its calls.
class Scenario
{
public:
  Scenario(Policy aPolicy, double aFailing)
    : policy(aPolicy)
    , failing(aFailing)
    , arrivals(kSeed)
    , target(kSeed + 1)
    , waits(kSeed + 2)
    , windows(static_cast<std::size_t>(kEnd.count() * kWindowsPerSecond) + 1, 0)
  {
  }

  void Run(const char* aName)
  {
    this->Arrive();
    this->simulation.RunUntil(kEnd);
    const auto requestsCounted = static_cast<double>(this->requests);
    std::printf("%-10s %6.0f%% %12.3f %12.1f %12.3f\n",
                aName,
                this->failing * 100.0,
                static_cast<double>(this->calls) / requestsCounted,
                *std::max_element(this->windows.begin(), this->windows.end()) * kWindowsPerSecond,
                static_cast<double>(this->answered) / requestsCounted);
  }

private:
  bool Failing() const { return this->simulation.Elapsed() >= kHealthyUntil; }

  void Arrive()
  {
    const double gap = -std::log(1.0 - this->arrivals.Fraction()) / kRequestsPerSecond;
    this->simulation.After(Seconds(gap), [this] {
      this->requests += this->Failing() ? 1U : 0U;
      this->budget.AddRequest();
      this->Call(1, this->simulation.Now() + kPatience);
      this->Arrive();
    });
  }

  void Call(std::uint64_t aAttempt, core::MonotonicTime aDeadline)
  {
    const double window = this->simulation.Elapsed().count() * kWindowsPerSecond;
    this->windows[static_cast<std::size_t>(window)] += 1.0;
    this->calls += this->Failing() ? 1U : 0U;
    if (!this->Failing() || this->target.Fraction() >= this->failing) {
      this->answered += this->Failing() ? 1U : 0U;
      return;
    }
    const auto wait = this->Decide(aAttempt, aDeadline);
    if (wait.has_value()) {
      this->simulation.After(Seconds(*wait),
                             [this, aAttempt, aDeadline] { this->Call(aAttempt + 1, aDeadline); });
    }
  }

  std::optional<std::chrono::milliseconds> Decide(std::uint64_t aAttempt,
                                                  core::MonotonicTime aDeadline)
  {
    const bool naive = this->policy == Policy::kNaive && aAttempt < kNaiveAttempts;
    if (this->policy != Policy::kBudget) {
      return naive ? std::optional(std::chrono::milliseconds(0)) : std::nullopt;
    }
    const retries::FailedAttempt failed{ aAttempt, core::Outcome::kNotRun, true, false, aDeadline };
    return retries::DecideRetry(failed, this->simulation.Now(), this->budget, this->waits);
  }

  Policy policy;
  double failing;
  bench::Simulation simulation;
  core::RandomSource arrivals;
  core::RandomSource target;
  core::RandomSource waits;
  retries::RetryBudget budget;
  std::vector<double> windows;
  std::uint64_t requests = 0;
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
};

} // namespace

int
main()
{
  std::printf("seed %llu; 200 requests/s for 120 s at a target that fails a share of its calls\n",
              static_cast<unsigned long long>(kSeed));
  std::printf(
    "%-10s %7s %12s %12s %12s\n", "policy", "failing", "calls/req", "peak calls/s", "answered");
  for (const double failing : { 0.1, 0.5, 1.0 }) {
    Scenario(Policy::kNone, failing).Run("none");
    Scenario(Policy::kNaive, failing).Run("naive");
    Scenario(Policy::kBudget, failing).Run("budget");
  }
  return 0;
}

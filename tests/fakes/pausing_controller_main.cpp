// The controller as it ships, but for one thing: it stops itself (SIGSTOP) between its last look at
// the lease and the writing of an order, as an unlucky process may be stopped. `--timer 0` switches
// off the timer that ends it with its lease, so that a test can show what the timer is for.

#include <csignal>
#include <iostream>

#include <plantainslip/core/log.hpp>

#include "../../apps/common/stop_signal.hpp"
#include "../../apps/controller/controller_process.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

constexpr std::chrono::milliseconds kEngineTimeout = std::chrono::seconds(1);

class NoTimer final : public authority::TermTimer
{
public:
  void Arm(core::MonotonicTime /*aDeadline*/) override {}
  void Disarm() override {}
};

class PausingEngines final : public targets::EngineClient
{
public:
  PausingEngines()
    : engines(targets::MakeHttpEngineClient(kEngineTimeout))
  {
  }

  absl::StatusOr<std::unique_ptr<targets::TokenStream>> Generate(
    const net::Address& aEngine,
    const targets::GenerateRequest& aRequest) override
  {
    return this->engines->Generate(aEngine, aRequest);
  }

  absl::Status Cancel(const net::Address& aEngine,
                      const core::RequestId& aRequest,
                      core::AttemptNumber aAttempt) override
  {
    return this->engines->Cancel(aEngine, aRequest, aAttempt);
  }

  absl::StatusOr<targets::EngineReport> ReadReport(const net::Address& aEngine) override
  {
    return this->engines->ReadReport(aEngine);
  }

  absl::StatusOr<std::vector<targets::CacheEvent>> ReadCacheEvents(const net::Address& aEngine,
                                                                   std::uint64_t aAfter) override
  {
    return this->engines->ReadCacheEvents(aEngine, aAfter);
  }

  absl::Status SendOrder(const net::Address& aEngine, const targets::EngineOrder& aOrder) override
  {
    (void)std::raise(SIGSTOP);
    return this->engines->SendOrder(aEngine, aOrder);
  }

private:
  std::unique_ptr<targets::EngineClient> engines;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  apps::ControllerSettings settings;
  bool hasTimer = true;
  apps::CommandLine line("pausing-controller", "A controller that stops before each order.");
  apps::AddControllerFlags(line, settings);
  line.Add("timer", hasTimer, "Whether the process ends with its lease", "Control");
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  core::InitializeLog({ "pausing-controller", settings.instance, settings.zone }, line.LogLevel());
  const core::SystemClock clock;
  const auto timer = authority::TermTimer::Create(clock);
  if (!timer.ok()) {
    std::cerr << timer.status().message() << "\n";
    return apps::kExitFailed;
  }
  NoTimer none;
  PausingEngines engines;
  authority::TermTimer& chosen = hasTimer ? **timer : none;
  return apps::RunController(settings, engines, clock, chosen);
}

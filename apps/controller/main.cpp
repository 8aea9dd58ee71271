// Controller: the wiring. No decisions.

#include <iostream>

#include <plantainslip/core/log.hpp>

#include "../common/stop_signal.hpp"
#include "controller_process.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

constexpr std::chrono::milliseconds kEngineTimeout = std::chrono::seconds(1);

} // namespace

int
main(int aCount, char** aArguments)
{
  apps::ControllerSettings settings;
  apps::CommandLine line("plantainslip-controller",
                         "Orders the engines of one availability zone while it holds the lease.");
  apps::AddControllerFlags(line, settings);
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  core::InitializeLog({ "plantainslip-controller", settings.instance, settings.zone },
                      line.LogLevel());
  const core::SystemClock clock;
  const auto timer = authority::TermTimer::Create(clock);
  if (!timer.ok()) {
    std::cerr << timer.status().message() << "\n";
    return apps::kExitFailed;
  }
  const auto engines = targets::MakeHttpEngineClient(kEngineTimeout);
  return apps::RunController(settings, *engines, clock, **timer);
}

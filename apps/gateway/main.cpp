#include <csignal>
#include <iostream>

#include <plantainslip/core/log.hpp>

#include "../common/command_line.hpp"
#include "directory_wire.hpp"
#include "gateway.hpp"
#include "settings.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)

/// @brief Values of the flags, in the units that they are given in.
struct Flags
{
  apps::GatewayOptions options;
  unsigned horizonSeconds = static_cast<unsigned>(serving::StageChangeCosts{}.horizon.count());
  unsigned quarantineSeconds = static_cast<unsigned>(
    std::chrono::duration_cast<std::chrono::seconds>(serving::QuarantineOptions{}.lifetime)
      .count());
};

void
AddScalingFlags(apps::CommandLine& aLine, scaling::ScalingOptions& aOptions)
{
  const std::string group = "Numbers of targets";
  constexpr double kMaxBurstFactor = 10.0;
  constexpr double kMinUse = 0.05;
  constexpr double kMaxUse = 0.95;
  constexpr double kMaxStartups = 100.0;
  constexpr double kMinStep = 0.01;
  aLine
    .Add("scaling-burst-factor",
         aOptions.headroom.burstFactor,
         "Growth of the demand that the targets bear while new ones start",
         group)
    ->check(CLI::Range(1.0, kMaxBurstFactor));
  aLine
    .Add("scaling-max-use",
         aOptions.headroom.maxUse,
         "Share of the targets' time, slots and memory that may be taken in such a burst",
         group)
    ->check(CLI::Range(kMinUse, kMaxUse));
  aLine
    .Add("scaling-regular-share",
         aOptions.regularShare,
         "Share of the targets that a zone needs which the platform must not be able to reclaim",
         group)
    ->check(CLI::Range(0.0, 1.0));
  aLine
    .Add("scaling-initial-share",
         aOptions.initialShare,
         "Share of the regular targets that reclaimable ones replace before the demand is known",
         group)
    ->check(CLI::Range(0.0, 1.0));
  aLine
    .Add("scaling-lower-after",
         aOptions.lowerAfterStartups,
         "Start-up times of a target for which the demand must have been lower before targets are "
         "given up",
         group)
    ->check(CLI::Range(0.0, kMaxStartups));
  aLine
    .Add("scaling-step",
         aOptions.maxStep,
         "Share of the targets that are not needed which is given up in one step",
         group)
    ->check(CLI::Range(kMinStep, 1.0));
}

void
AddFlags(apps::CommandLine& aLine, Flags& aFlags)
{
  const std::string group = "Stages of the engines";
  constexpr double kMinShare = 0.01;
  constexpr double kMaxShare = 0.99;
  constexpr unsigned kMaxHorizonSeconds = 3'600;
  constexpr double kMaxRequestsPerOrder = 10'000.0;
  aLine
    .Add("initial-decode-share",
         aFlags.options.initialDecodeShare,
         "Share of a service's engines that decode until its demand is known; without it, "
         "the share follows from the engines' batch slots",
         group)
    ->check(CLI::Range(kMinShare, kMaxShare));
  aLine
    .Add("demand-horizon-s",
         aFlags.horizonSeconds,
         "Seconds for which the present demand is expected to last",
         group)
    ->check(CLI::Range(1U, kMaxHorizonSeconds));
  aLine
    .Add("requests-per-order",
         aFlags.options.stageChangeCosts.requestsPerOrder,
         "Price of an order to change an engine's stage, in requests",
         group)
    ->check(CLI::Range(0.0, kMaxRequestsPerOrder));
  const std::string quarantineGroup = "Quarantine of requests";
  constexpr std::size_t kMinCrashes = 2;
  constexpr std::size_t kMaxCrashes = 100;
  constexpr unsigned kMaxQuarantineSeconds = 3'600;
  aLine
    .Add("quarantine-after-crashes",
         aFlags.options.quarantine.minCrashes,
         "Ended targets, with other answers in between, from which a prompt part or a repeated "
         "request that was seen at all of them is kept from targets",
         quarantineGroup)
    ->check(CLI::Range(kMinCrashes, kMaxCrashes));
  aLine
    .Add("quarantine-s",
         aFlags.quarantineSeconds,
         "Seconds for which evidence against a prompt part or a request counts, and for which its "
         "quarantine outlasts the last request with it",
         quarantineGroup)
    ->check(CLI::Range(1U, kMaxQuarantineSeconds));
  AddScalingFlags(aLine, aFlags.options.scaling);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  Flags flags;
  apps::CommandLine line("plantainslip-gateway",
                         "Serves callers on the users' platform; reads the settings file that "
                         "PLANTAINSLIP_SETTINGS names.");
  AddFlags(line, flags);
  if (const auto exitCode = line.Parse(aArgumentCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  const auto path = wire::SettingsPath();
  const auto settings =
    path.ok() ? wire::ReadSettings(*path) : absl::StatusOr<wire::Settings>(path.status());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return apps::kExitBadSettings;
  }
  flags.options.quarantine.lifetime = std::chrono::seconds(flags.quarantineSeconds);
  flags.options.stageChangeCosts.horizon = std::chrono::seconds(flags.horizonSeconds);
  core::InitializeLog({ "plantainslip-gateway", settings->instance.Text(), settings->zone.Text() },
                      line.LogLevel());
  const absl::Status result = apps::RunGateway(*settings, flags.options);
  if (!result.ok()) {
    core::Log(
      core::LogLevel::kError, "failed to start", { { "error", std::string(result.message()) } });
    return apps::kExitFailed;
  }
  return apps::kExitDone;
}

#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include <plantainslip/core/log.hpp>

#include "../common/version.hpp"
#include "directory_wire.hpp"
#include "gateway.hpp"
#include "settings.hpp"

int
main(int aArgumentCount, char** aArguments)
{
  using namespace plantainslip;
  std::signal(SIGPIPE, SIG_IGN);
  if (aArgumentCount > 1) {
    std::cerr << "usage: " << aArguments[0]
              << "\nreads the settings file that PLANTAINSLIP_SETTINGS names\n";
    return 2;
  }
  const auto path = wire::SettingsPath();
  const auto settings =
    path.ok() ? wire::ReadSettings(*path) : absl::StatusOr<wire::Settings>(path.status());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return 2;
  }
  core::InitializeLog({ "plantainslip-gateway", settings->instance.Text(), settings->zone.Text() },
                      core::LogLevel::kInfo);
  const absl::Status result = apps::RunGateway(*settings);
  if (!result.ok()) {
    core::Log(
      core::LogLevel::kError, "failed to start", { { "error", std::string(result.message()) } });
    return 1;
  }
  return 0;
}

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
main(int aCount, char** aWords)
{
  using namespace plantainslip;
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount > 1) {
    std::cerr << "usage: " << aWords[0] << "\nreads the settings file that the platform names\n";
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
  const absl::Status ended = apps::RunGateway(*settings);
  if (!ended.ok()) {
    core::Log(core::LogLevel::kError, "stopped", { { "error", std::string(ended.message()) } });
    return 1;
  }
  return 0;
}

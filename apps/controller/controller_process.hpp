#pragma once

#include <memory>
#include <string>

#include <plantainslip/authority/controller.hpp>

#include "../common/command_line.hpp"
#include "../common/secret.hpp"

namespace plantainslip::apps {

/// @brief Settings of a controller process.
struct ControllerSettings
{
  std::string instance;
  std::string zone;
  std::string platform;
  Secret peerKey;
  int intervalMs = 500;
  int leaseMs = 5000;
  int takeOverMs = 2500;
  int loadsAtOnce = 1;
  int prefillTokensPerSecond = 8000;
  int decodeTokensPerSecond = 1600;
  int roleChangeSeconds = 10;
};

/// @brief Adds the controller's flags to a command line.
void
AddControllerFlags(CommandLine& aLine, ControllerSettings& aSettings);

/// @brief Runs a controller until the process is told to stop.
/// @param aSettings  the settings
/// @param aEngines  the way to the engines
/// @param aClock  the clock
/// @param aTimer  ends the process with its lease
/// @return the exit code
int
RunController(const ControllerSettings& aSettings,
              targets::EngineClient& aEngines,
              const core::Clock& aClock,
              authority::TermTimer& aTimer);

} // namespace plantainslip::apps

#pragma once

#include <functional>
#include <string>

#include <plantainslip/net/http_server.hpp>

#include "../../apps/common/command_line.hpp"

namespace plantainslip::fakes {

/// @brief Settings that all fakes have.
struct FakeSettings
{
  std::string name = "fake";
  std::string zone = "zone";
  std::uint16_t port = 0;
  std::string platform;
  unsigned threads = 1200;
};

/// @brief Adds the flags that all fakes have.
void
AddFakeFlags(apps::CommandLine& aLine, FakeSettings& aSettings);

/// @brief Serves until SIGTERM. Prints `listening a.b.c.d:port` once the port is open, and puts
///        the fake on the platform's list if a platform is set.
/// @param aKind  `engine` or `service`; empty for the platform itself
/// @param aService  name of the plain service, or empty
/// @return exit code
int
ServeFake(const FakeSettings& aSettings,
          const std::string& aKind,
          const std::string& aService,
          net::HttpServer::Handler aHandler);

} // namespace plantainslip::fakes

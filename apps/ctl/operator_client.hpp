#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <plantainslip/net/http_client.hpp>

#include "../common/secret.hpp"

namespace plantainslip::ctl {

/// @brief Exit code if the base version is not the present one, or another operator was faster.
inline constexpr int kExitConflict = 3;
/// @brief Exit code if the entry instance does not answer, or what it needs is down.
inline constexpr int kExitUnreachable = 4;
/// @brief Exit code if the operators' key is missing or wrong.
inline constexpr int kExitNotAuthorized = 5;
/// @brief Exit code if an accepted version is not in force everywhere in time.
inline constexpr int kExitNotInForce = 6;

/// @brief Settings of all commands.
struct Settings
{
  std::string entry = "127.0.0.1:7100";
  apps::Secret operatorKey;
  bool asJson = false;
  std::uint64_t base = 0;
  std::string author;
  std::string change;
  std::string patch;
  std::uint64_t version = 0;
  int timeoutSeconds = 10;
  bool noWait = false;
  std::string target;
};

/// @brief Sends one call of an operator to an entry instance. Blocks for five seconds at most.
/// @return the answer, or error 202 (net.not_connected) or 203 (net.no_answer)
absl::StatusOr<net::HttpReply>
Call(const Settings& aSettings,
     const net::Address& aEntry,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody = {});

/// @brief Reads a JSON object from the entry instance that the settings name, and tells problems
///        on standard error.
/// @param aAnswer  gets the object
/// @return exit code; zero if the object was read
int
Read(const Settings& aSettings, const std::string& aTarget, nlohmann::json& aAnswer);

/// @brief Turns an answer into an exit code and tells problems on standard error.
int
ExitCodeOf(const absl::StatusOr<net::HttpReply>& aReply);

/// @brief Version of the configuration in force at one entry instance.
struct InstanceVersion
{
  std::string name;
  std::string zone;
  std::string address;
  bool leaving = false;
  bool answered = false;
  std::uint64_t version = 0;
};

/// @brief Asks every listed entry instance which version it has in force, several at a time.
/// @param aInstances  field `instances` of the answer of `GET /v1/operator/fleet`
std::vector<InstanceVersion>
AskVersions(const Settings& aSettings, const nlohmann::json& aInstances);

} // namespace plantainslip::ctl

// Operators' command line: every subcommand is one call of an entry instance.

#include <iostream>

#include <nlohmann/json.hpp>

#include <plantainslip/core/random.hpp>
#include <plantainslip/net/http_client.hpp>

#include "../common/address_check.hpp"
#include "../common/command_line.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kExitConflict = 3;
constexpr int kExitUnreachable = 4;

struct Settings
{
  std::string entry = "127.0.0.1:7100";
  std::string operatorKey;
  std::uint64_t base = 0;
  std::string author;
  std::string change;
  std::string patch;
  bool asJson = false;
};

int
ExitCodeOf(const absl::StatusOr<net::HttpReply>& aReply)
{
  if (!aReply.ok()) {
    std::cerr << aReply.status().message() << "\n";
    return kExitUnreachable;
  }
  if (aReply->status == kOk) {
    return apps::kExitDone;
  }
  std::cerr << aReply->body << "\n";
  return aReply->status == kConflict ? kExitConflict : apps::kExitFailed;
}

absl::StatusOr<net::HttpReply>
Call(const Settings& aSettings,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody)
{
  net::HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers.push_back({ "Authorization", "Bearer " + aSettings.operatorKey });
  return net::CallHttp(*net::Address::Parse(aSettings.entry), request);
}

int
ShowConfiguration(const Settings& aSettings)
{
  const auto reply = Call(aSettings, "GET", "/v1/operator/configuration", {});
  if (const int exitCode = ExitCodeOf(reply); exitCode != apps::kExitDone) {
    return exitCode;
  }
  const json record = json::parse(reply->body);
  if (aSettings.asJson) {
    std::cout << record.dump() << "\n";
  } else {
    std::cout << "version " << record.at("version") << "\n"
              << record.at("document").dump(2) << "\n";
  }
  return apps::kExitDone;
}

int
SubmitPatch(const Settings& aSettings)
{
  const json change = json::parse(aSettings.change, nullptr, false);
  if (!change.is_object()) {
    std::cerr << "--change: '" << aSettings.change << "' is not a JSON object\n";
    return apps::kExitBadSettings;
  }
  const std::string patch = aSettings.patch.empty() ? core::MakeUniqueName() : aSettings.patch;
  const json body = { { "patch", patch },
                      { "base", aSettings.base },
                      { "author", aSettings.author },
                      { "change", change } };
  const auto reply = Call(aSettings, "POST", "/v1/operator/patches", body.dump());
  if (const int exitCode = ExitCodeOf(reply); exitCode != apps::kExitDone) {
    std::cerr << "patch " << patch << " can be submitted again with --patch " << patch << "\n";
    return exitCode;
  }
  std::cout << "accepted as version " << json::parse(reply->body).at("version") << "\n";
  return apps::kExitDone;
}

int
ShowFleet(const Settings& aSettings)
{
  const auto reply = Call(aSettings, "GET", "/v1/operator/fleet", {});
  if (const int exitCode = ExitCodeOf(reply); exitCode != apps::kExitDone) {
    return exitCode;
  }
  const json fleet = json::parse(reply->body);
  if (aSettings.asJson) {
    std::cout << fleet.dump() << "\n";
    return apps::kExitDone;
  }
  for (const json& target : fleet.at("targets")) {
    std::cout << target.at("name").get<std::string>() << "  "
              << target.at("zone").get<std::string>() << "  "
              << target.at("kind").get<std::string>() << "  "
              << target.at("serves").get<std::string>() << "  "
              << target.value("role", std::string("-")) << "  "
              << target.value("version", std::string("-"))
              << (target.at("leaving").get<bool>() ? "  leaving" : "") << "\n";
  }
  return apps::kExitDone;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Settings settings;
  apps::CommandLine line("plantainslip-ctl", "Operators' command line.");
  line.Add("entry", settings.entry, "Address of any entry instance", "Network")
    ->check(&apps::CheckAddress);
  line.Add("operator-key", settings.operatorKey, "Key that proves the operator", "Security");
  line.Parser().add_flag("--json", settings.asJson, "Print JSON for programs");
  CLI::App* config = line.Parser().add_subcommand("config", "Read and change the configuration");
  CLI::App* show = config->add_subcommand("show", "Print the configuration in force");
  CLI::App* patch = config->add_subcommand("patch", "Submit a patch against a version");
  patch->add_option("--base", settings.base, "Version that the patch was made against")->required();
  patch->add_option("--author", settings.author, "Who answers for the patch")->required();
  patch->add_option("--change", settings.change, "JSON merge patch (RFC 7386)")->required();
  patch->add_option("--patch", settings.patch, "Identifier of a patch that is submitted again");
  CLI::App* targets = line.Parser().add_subcommand("targets", "Print the targets");
  config->require_subcommand(1);
  line.Parser().require_subcommand(1);
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  if (show->parsed()) {
    return ShowConfiguration(settings);
  }
  if (patch->parsed()) {
    return SubmitPatch(settings);
  }
  if (targets->parsed()) {
    return ShowFleet(settings);
  }
  return apps::kExitBadSettings;
}

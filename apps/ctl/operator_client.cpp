#include "operator_client.hpp"

#include <iostream>

#include "../common/command_line.hpp"
#include "../common/parallel.hpp"

namespace plantainslip::ctl {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotAuthorized = 401;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::size_t kParallelCalls = 16;

// Tells the reason in words; a program reads the exit code.
void
TellProblem(const std::string& aBody)
{
  const json problem = json::parse(aBody, nullptr, false);
  const bool readable = problem.is_object() && problem.contains("detail");
  std::cerr << (readable ? problem["detail"].get<std::string>() : aBody) << "\n";
}

} // namespace

absl::StatusOr<net::HttpReply>
Call(const Settings& aSettings,
     const net::Address& aEntry,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody)
{
  net::HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers.push_back({ "Authorization", "Bearer " + aSettings.operatorKey.Reveal() });
  return net::CallHttp(aEntry, request);
}

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
  TellProblem(aReply->body);
  switch (aReply->status) {
    case kConflict:
      return kExitConflict;
    case kUnavailable:
      return kExitUnreachable;
    case kNotAuthorized:
      return kExitNotAuthorized;
    default:
      return apps::kExitFailed;
  }
}

int
Read(const Settings& aSettings, const std::string& aTarget, json& aAnswer)
{
  const auto reply = Call(aSettings, *net::Address::Parse(aSettings.entry), "GET", aTarget);
  if (const int exitCode = ExitCodeOf(reply); exitCode != apps::kExitDone) {
    return exitCode;
  }
  aAnswer = json::parse(reply->body, nullptr, false);
  if (!aAnswer.is_object()) {
    std::cerr << aSettings.entry << " gave an answer that is not a JSON object\n";
    return apps::kExitFailed;
  }
  return apps::kExitDone;
}

std::vector<InstanceVersion>
AskVersions(const Settings& aSettings, const json& aInstances)
{
  std::vector<InstanceVersion> versions;
  for (const json& line : aInstances) {
    InstanceVersion instance;
    instance.name = line.value("name", std::string());
    instance.zone = line.value("zone", std::string());
    instance.address = line.value("address", std::string());
    instance.leaving = line.value("leaving", false);
    versions.push_back(std::move(instance));
  }
  apps::ForEachInParallel(versions.size(), kParallelCalls, [&](std::size_t aNumber) {
    InstanceVersion& instance = versions[aNumber];
    const auto address = net::Address::Parse(instance.address);
    if (!address.ok()) {
      return;
    }
    const auto reply = Call(aSettings, *address, "GET", "/v1/operator/fleet");
    if (!reply.ok() || reply->status != kOk) {
      return;
    }
    const json fleet = json::parse(reply->body, nullptr, false);
    instance.answered = fleet.is_object() && fleet.contains("version");
    instance.version = instance.answered ? fleet["version"].get<std::uint64_t>() : 0;
  });
  return versions;
}

} // namespace plantainslip::ctl

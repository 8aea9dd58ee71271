#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "child_process.hpp"
#include "fakes/wire_store.hpp"
#include "fakes/wire_target.hpp"

namespace plantainslip::harness {

/// @brief Response as a caller received it.
struct CallerAnswer
{
  int status = 0;
  /// @brief Status line and header fields.
  std::string head;
  /// @brief Body without chunked framing.
  std::string body;
  /// @brief Whether the body is complete by its stated length or its last chunk; for a caller with
  ///        HTTP/1.0 also by the connection's end without a reset.
  bool complete = false;
};

class PortReservation;

/// @brief Gateway processes in front of fakes of the platform's store and targets.
class WireFleet
{
public:
  WireFleet();
  ~WireFleet();
  WireFleet(const WireFleet&) = delete;
  WireFleet& operator=(const WireFleet&) = delete;

  fakes::WireStore& Store() { return *this->store; }

  /// @brief Starts a target and adds its directory entry to the store.
  /// @param aService  `models` or `desk`
  /// @param aStage  `prefill`, `decode` or empty
  fakes::WireTarget& AddTarget(const std::string& aId,
                               const std::string& aService,
                               const std::string& aStage);

  /// @brief Writes or replaces a target's directory entry.
  void WriteEntry(const fakes::WireTarget& aTarget,
                  const std::string& aService,
                  const std::string& aStage,
                  const std::string& aState = "ready");

  /// @brief Writes or replaces the directory entry of a target with a given address.
  /// @param aStartedAt  start time in the entry; zero for none
  void WriteEntry(const std::string& aId,
                  const net::Address& aAddress,
                  const std::string& aService,
                  const std::string& aStage,
                  const std::string& aState = "ready",
                  std::uint64_t aStartedAt = 0);

  /// @brief Removes a target's directory entry.
  void RemoveEntry(const std::string& aId);

  /// @brief Writes a configuration with the routes `/quote/` (stream, one target), `/note/`
  ///        (resumable stream, two targets), `/pay/` (at most once) and `/look/` (idempotent, two
  ///        targets).
  /// @param aAdded  name of a further route of the kind of `/look/`, if any
  void Configure(std::uint64_t aVersion,
                 const std::string& aAdded = "",
                 std::uint64_t aMaxBodyBytes = 65'536);

  /// @brief Adds a route with two targets to all later configurations, or changes an added one.
  /// @param aRoute  fields that differ from those of `/pay/`, in the platform's names
  void AddRoute(const std::string& aName, const nlohmann::json& aRoute);

  /// @brief Sets the workspaces of all later configurations.
  /// @param aWorkspaces  list in the platform's format, or null for none
  void SetWorkspaces(const nlohmann::json& aWorkspaces);

  /// @brief Sets the machine's limits in the settings of the instances started from now on.
  void SetMachineLimits(std::uint64_t aMemoryMegabytes, std::uint64_t aMaxDescriptors)
  {
    this->memoryMegabytes = aMemoryMegabytes;
    this->maxDescriptors = aMaxDescriptors;
  }

  /// @brief Lets instances that are started later report usage to an address, with windows of two
  ///        seconds.
  void ReportUsageTo(const net::Address& aPlatform) { this->usagePlatform = aPlatform.Text(); }

  /// @brief Starts an instance of the gateway.
  /// @param aAwaitReady  whether to wait until it is ready
  ChildProcess& StartGateway(bool aAwaitReady = true);

  /// @brief Kills an instance, if it still runs, and starts it again with the same settings.
  ChildProcess& RestartGateway(std::size_t aIndex);

  /// @brief Returns the status of the last started instance's readiness endpoint, 0 if it does not
  ///        respond.
  int Readiness() const;

  /// @brief Returns the address for callers of the last started instance.
  const net::Address& Callers() const { return this->callers; }

  /// @brief Returns the metrics page of the last started instance.
  std::string Metrics() const;

  /// @brief Returns an instance by the order in which they were started.
  ChildProcess& Gateway(std::size_t aIndex) { return *this->gateways.at(aIndex); }

  /// @brief Sends a request to the last started instance and reads the response until the
  ///        connection ends.
  CallerAnswer Call(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aId,
                    const std::string& aHeaders = "",
                    const std::string& aBody = "") const;

  /// @brief Sends a request to an instance, by its address for callers; see Call().
  CallerAnswer CallAt(const net::Address& aCallers,
                      const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aId,
                      const std::string& aHeaders = "",
                      const std::string& aBody = "") const;

  /// @brief Returns the header fields of a completion with a prompt of two parts.
  static std::string CompletionHeaders();

  /// @brief Sets the time that callers allow their requests.
  void SetCallerDeadline(std::chrono::milliseconds aDeadline) { this->callerDeadline = aDeadline; }

  /// @brief Sets the HTTP version of callers, `1.1` or `1.0`.
  void SetCallerVersion(const std::string& aVersion) { this->callerVersion = aVersion; }

  /// @brief Repeats GET requests for a path until the last started instance responds with a status.
  void AwaitServed(const std::string& aPath, int aStatus) const;

private:
  static std::unique_ptr<ChildProcess> LaunchGateway(const std::string& aSettingsPath);

  serving::asio::io_context context{ 1 };
  serving::asio::executor_work_guard<serving::asio::io_context::executor_type> work;
  std::unique_ptr<fakes::WireStore> store;
  std::vector<std::unique_ptr<fakes::WireTarget>> targets;
  std::vector<std::unique_ptr<PortReservation>> reservations;
  std::vector<std::unique_ptr<ChildProcess>> gateways;
  /// @brief Settings file of each instance.
  std::vector<std::string> settingsPaths;
  net::Address callers;
  net::Address readiness;
  net::Address metrics;
  /// @brief Zero for settings without these limits.
  std::uint64_t memoryMegabytes = 0;
  std::uint64_t maxDescriptors = 0;
  std::chrono::milliseconds callerDeadline{ 5'000 };
  std::string callerVersion = "1.1";
  /// @brief Added routes by name, as JSON.
  std::map<std::string, std::string> addedRoutes;
  std::string usagePlatform;
  /// @brief Workspaces as JSON; empty for none.
  std::string workspaces;
  std::jthread thread;
};

/// @brief Parses the bytes of a response that a caller received.
CallerAnswer
ParseAnswer(const std::string& aBytes);

} // namespace plantainslip::harness

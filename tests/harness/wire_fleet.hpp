#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "child_process.hpp"
#include "fakes/wire_store.hpp"
#include "fakes/wire_target.hpp"

namespace plantainslip::harness {

/// @brief Answer that a caller got, byte for byte.
struct CallerAnswer
{
  int status = 0;
  std::string head;
  /// @brief Body without the framing of chunks.
  std::string body;
  /// @brief Whether the body came to its stated end.
  bool whole = false;
};

/// @brief Instances of the gateway as processes, before fakes of the users' store and targets.
class WireFleet
{
public:
  WireFleet();
  ~WireFleet();
  WireFleet(const WireFleet&) = delete;
  WireFleet& operator=(const WireFleet&) = delete;

  fakes::WireStore& Store() { return *this->store; }

  /// @brief Starts a target and lists it in the store.
  /// @param aService  `models` or `desk`
  /// @param aStage  `prefill`, `decode` or empty
  fakes::WireTarget& AddTarget(const std::string& aId,
                               const std::string& aService,
                               const std::string& aStage);

  /// @brief Writes a target's entry anew.
  void List(const fakes::WireTarget& aTarget,
            const std::string& aService,
            const std::string& aStage,
            const std::string& aState = "ready");

  /// @brief Writes a configuration with routes `/quote/` (stream, one target), `/note/` (stream
  /// that
  ///        may be resumed, two targets), `/pay/` (at most once) and `/look/` (idempotent).
  void Configure(std::uint64_t aVersion);

  /// @brief Starts an instance.
  /// @param aAwaitReady  whether to wait until it is ready
  ChildProcess& StartGateway(bool aAwaitReady = true);

  /// @brief Gives the status of the instance's readiness; 0 if it does not answer.
  int Readiness() const;

  /// @brief Address for callers of the instance that was started last.
  const net::Address& Callers() const { return this->callers; }

  /// @brief Gives the metrics page of the instance that was started last.
  std::string Metrics() const;

  /// @brief Gives an instance by the order of starting.
  ChildProcess& Gateway(std::size_t aIndex) { return *this->gateways.at(aIndex); }

  /// @brief Sends a request and reads its answer to the end of the connection.
  CallerAnswer Call(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aId,
                    const std::string& aHeaders = "",
                    const std::string& aBody = "") const;

  /// @brief Header fields of a completion with a prompt of two parts.
  static std::string CompletionHeaders();

  /// @brief Waits until the instance serves calls of the desk; for news that take their time.
  void AwaitServed(const std::string& aPath, int aStatus) const;

private:
  serving::asio::io_context context{ 1 };
  serving::asio::executor_work_guard<serving::asio::io_context::executor_type> work;
  std::unique_ptr<fakes::WireStore> store;
  std::vector<std::unique_ptr<fakes::WireTarget>> targets;
  std::vector<std::unique_ptr<ChildProcess>> gateways;
  net::Address callers;
  net::Address readiness;
  net::Address metrics;
  std::string settingsPath;
  std::jthread thread;
};

/// @brief Reads an answer that a caller got.
CallerAnswer
ParseAnswer(const std::string& aBytes);

} // namespace plantainslip::harness

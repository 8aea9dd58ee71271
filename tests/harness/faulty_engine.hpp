#pragma once

#include <functional>
#include <map>
#include <string>

#include <plantainslip/authority/term_timer.hpp>
#include <plantainslip/peers/errors.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/peers/peer_server.hpp>
#include <plantainslip/targets/engine.hpp>
#include <plantainslip/targets/errors.hpp>

#include "fault_matrix.hpp"

namespace plantainslip::harness {

/// @brief The engines as one controller under test sees them: every call is a step of the matrix.
class FaultyEngines final : public targets::EngineClient
{
public:
  /// @param aEngines  the engines that all processes share
  /// @param aInjector  the process's own injector
  FaultyEngines(targets::EngineClient& aEngines, FaultInjector& aInjector)
    : engines(aEngines)
    , injector(aInjector)
  {
  }

  absl::StatusOr<std::unique_ptr<targets::TokenStream>> Generate(
    const net::Address& aEngine,
    const targets::GenerateRequest& aRequest) override
  {
    return this->engines.Generate(aEngine, aRequest);
  }

  absl::Status Cancel(const net::Address& aEngine,
                      const core::RequestId& aRequest,
                      core::AttemptNumber aAttempt) override
  {
    return this->engines.Cancel(aEngine, aRequest, aAttempt);
  }

  absl::StatusOr<std::vector<targets::CacheEvent>> ReadCacheEvents(const net::Address& aEngine,
                                                                   std::uint64_t aAfter) override
  {
    return this->engines.ReadCacheEvents(aEngine, aAfter);
  }

  absl::StatusOr<targets::EngineReport> ReadReport(const net::Address& aEngine) override
  {
    using Result = absl::StatusOr<targets::EngineReport>;
    return this->injector.Pass<Result>(
      "engine.read_report " + aEngine.Text(),
      [&] { return this->engines.ReadReport(aEngine); },
      [] { return Result(core::MakeError(targets::errors::kLost, "lost")); });
  }

  absl::Status SendOrder(const net::Address& aEngine, const targets::EngineOrder& aOrder) override
  {
    return this->injector.Pass<absl::Status>(
      "engine.send_order " + aEngine.Text(),
      [&] { return this->engines.SendOrder(aEngine, aOrder); },
      [] { return core::MakeError(targets::errors::kLost, "lost"); });
  }

private:
  targets::EngineClient& engines;
  FaultInjector& injector;
};

/// @brief Peers in memory, found by the port number of their address; every call is a step.
class MemoryPeers final : public peers::PeerClient
{
public:
  /// @param aInjector  the process's own injector; null for a process without faults
  explicit MemoryPeers(FaultInjector* aInjector = nullptr)
    : injector(aInjector)
  {
  }

  /// @brief Sets how the peer at a port answers one kind of message.
  void Answer(std::uint16_t aPort, const std::string& aKind, peers::CallHandler aHandler)
  {
    this->handlers[{ aPort, aKind }] = std::move(aHandler);
  }

  absl::StatusOr<std::string> Call(const net::Address& aPeer,
                                   const std::string& aKind,
                                   const std::string& aBody,
                                   std::chrono::milliseconds /*aTimeout*/) override
  {
    using Result = absl::StatusOr<std::string>;
    const auto handler = this->handlers.find({ aPeer.port, aKind });
    if (handler == this->handlers.end()) {
      return core::MakeError(peers::errors::kUnreachable, aPeer.Text());
    }
    const auto call = [&] { return handler->second(aBody); };
    if (this->injector == nullptr) {
      return call();
    }
    return this->injector->Pass<Result>("peer." + aKind + " " + aPeer.Text(), call, [] {
      return Result(core::MakeError(peers::errors::kLost, "lost"));
    });
  }

  absl::StatusOr<std::unique_ptr<peers::PeerStream>> OpenStream(
    const net::Address& aPeer,
    const std::string& /*aKind*/,
    const std::string& /*aBody*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return core::MakeError(peers::errors::kUnreachable, aPeer.Text());
  }

private:
  FaultInjector* injector;
  std::map<std::pair<std::uint16_t, std::string>, peers::CallHandler> handlers;
};

/// @brief Ends a simulated process as the kernel's timer ends a real one.
class SimulatedTermTimer final : public authority::TermTimer
{
public:
  /// @param aClock  has to outlive the timer
  explicit SimulatedTermTimer(const core::Clock& aClock)
    : clock(aClock)
  {
  }

  void Arm(core::MonotonicTime aDeadline) override
  {
    this->deadline = aDeadline;
    this->armed = true;
  }

  void Disarm() override { this->armed = false; }

  /// @brief Called where a paused process goes on; throws SimulatedCrash if its time is over.
  void Resume() const
  {
    if (this->armed && this->clock.Now() >= this->deadline) {
      throw SimulatedCrash();
    }
  }

private:
  const core::Clock& clock;
  core::MonotonicTime deadline;
  bool armed = false;
};

} // namespace plantainslip::harness

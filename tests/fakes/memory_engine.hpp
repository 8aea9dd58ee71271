#pragma once

#include <map>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/targets/engine.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::fakes {

/// @brief One order as an engine saw it arrive.
struct OrderArrival
{
  targets::EngineOrder order;
  /// @brief Whether the engine began to carry it out.
  bool effective = false;
  /// @brief Whether another order was being carried out.
  bool duringAnother = false;
  /// @brief Attempts that were under way when it arrived.
  std::uint64_t running = 0;
};

/// @brief One engine in memory, with the record that checkers read.
struct MemoryEngine
{
  std::chrono::milliseconds changeTime = std::chrono::seconds(1);
  bool checksFencing = true;
  /// @brief The engine starts anew, with nothing loaded, in the middle of its next change.
  bool crashInChange = false;
  /// @brief Orders that are taken and not carried out.
  int ordersToIgnore = 0;
  /// @brief Whether calls reach the engine.
  bool reachable = true;
  targets::EngineReport report;
  targets::EngineOrder pending;
  core::MonotonicTime changeEndsAt;
  std::vector<OrderArrival> arrivals;
};

/// @brief Engines in memory behind the port, found by the port number of their address. One thread.
class MemoryEngines final : public targets::EngineClient
{
public:
  /// @param aClock  time by which changes end; has to outlive the engines
  explicit MemoryEngines(const core::Clock& aClock)
    : clock(aClock)
  {
  }

  /// @brief Gives the engine at a port; makes it on first use.
  MemoryEngine& At(std::uint16_t aPort) { return this->engines[aPort]; }

  /// @brief Begins an attempt if the engine takes work.
  bool BeginWork(std::uint16_t aPort)
  {
    MemoryEngine& engine = this->Advance(aPort);
    if (engine.report.changing) {
      return false;
    }
    ++engine.report.running;
    return true;
  }

  /// @brief Ends an attempt.
  void EndWork(std::uint16_t aPort) { --this->engines.at(aPort).report.running; }

  absl::StatusOr<std::unique_ptr<targets::TokenStream>> Generate(
    const net::Address& /*aEngine*/,
    const targets::GenerateRequest& /*aRequest*/) override
  {
    return core::MakeError(targets::errors::kRefused, "not in memory");
  }

  absl::Status Cancel(const net::Address& /*aEngine*/,
                      const core::RequestId& /*aRequest*/,
                      core::AttemptNumber /*aAttempt*/) override
  {
    return absl::OkStatus();
  }

  absl::StatusOr<std::vector<targets::CacheEvent>> ReadCacheEvents(
    const net::Address& /*aEngine*/,
    std::uint64_t /*aAfter*/) override
  {
    return std::vector<targets::CacheEvent>();
  }

  absl::StatusOr<targets::EngineReport> ReadReport(const net::Address& aEngine) override
  {
    const MemoryEngine& engine = this->Advance(aEngine.port);
    if (!engine.reachable) {
      return core::MakeError(targets::errors::kUnreachable, aEngine.Text());
    }
    return engine.report;
  }

  absl::Status SendOrder(const net::Address& aEngine, const targets::EngineOrder& aOrder) override
  {
    MemoryEngine& engine = this->Advance(aEngine.port);
    if (!engine.reachable) {
      return core::MakeError(targets::errors::kUnreachable, aEngine.Text());
    }
    if (engine.checksFencing && aOrder.token < engine.report.highestToken) {
      engine.arrivals.push_back({ aOrder, false, false, engine.report.running });
      return core::MakeError(targets::errors::kOrderFenced, aEngine.Text());
    }
    const bool repeated = aOrder.order == engine.report.lastOrder;
    const bool duringAnother = engine.report.changing && !repeated;
    engine.report.highestToken = std::max(engine.report.highestToken, aOrder.token);
    const bool ignored = engine.ordersToIgnore > 0;
    engine.ordersToIgnore -= ignored ? 1 : 0;
    const bool effective = !repeated && !duringAnother && !ignored;
    engine.arrivals.push_back({ aOrder, effective, duringAnother, engine.report.running });
    if (effective) {
      this->BeginChange(engine, aOrder);
    }
    return duringAnother ? core::MakeError(targets::errors::kOrderRefused, aEngine.Text())
                         : absl::OkStatus();
  }

private:
  void BeginChange(MemoryEngine& aEngine, const targets::EngineOrder& aOrder)
  {
    aEngine.pending = aOrder;
    aEngine.report.changing = true;
    aEngine.report.lastOrder = aOrder.order;
    aEngine.report.lastOrderDone = false;
    aEngine.changeEndsAt = this->clock.Now() + aEngine.changeTime;
  }

  MemoryEngine& Advance(std::uint16_t aPort)
  {
    MemoryEngine& engine = this->engines.at(aPort);
    if (engine.report.changing && engine.crashInChange) {
      engine.crashInChange = false;
      engine.report = targets::EngineReport();
    }
    if (!engine.report.changing || this->clock.Now() < engine.changeEndsAt) {
      return engine;
    }
    engine.report.changing = false;
    engine.report.lastOrderDone = true;
    engine.report.model = engine.pending.model;
    engine.report.version = engine.pending.version;
    engine.report.role = engine.pending.role;
    if (engine.pending.kind == targets::OrderKind::kLoadAdapter) {
      engine.report.adapters.push_back(engine.pending.adapter);
    }
    return engine;
  }

  const core::Clock& clock;
  std::map<std::uint16_t, MemoryEngine> engines;
};

} // namespace plantainslip::fakes

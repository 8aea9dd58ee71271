#pragma once

#include <functional>

#include <plantainslip/usage/usage_agent.hpp>

#include "load_exchange.hpp"
#include "path_metrics.hpp"
#include "usage_duty.hpp"

namespace plantainslip::serving {

/// @brief Connects an instance's usage agent with its peers by datagrams, and with the usage duty.
///        Used on the traffic thread.
class UsageLink
{
public:
  /// @brief Called once a second, while this instance holds the lease, with the windows that can be
  ///        reported.
  using OnInput = std::function<void(UsageInput)>;
  /// @brief Returns the holder of the fleet's lease, if it is known.
  using FindHolder = std::function<std::optional<core::InstanceId>()>;

  UsageLink(asio::io_context& aContext,
            const core::Clock& aClock,
            const usage::WindowRules& aRules,
            const PeerInstance& aSelf,
            LoadExchange& aExchange,
            PathMetrics& aMetrics,
            FindHolder aFindHolder,
            OnInput aOnInput);

  /// @brief Starts to send and to receive counts.
  void Start();

  /// @brief Counts a request that began to run.
  void Count(const core::WorkspaceId& aWorkspace) { this->agent.Count(aWorkspace); }

  /// @brief Sets how far this instance's own reports are.
  void SetProgress(const usage::Progress& aProgress);

private:
  Task<void> TickLoop();
  void Tick();
  void Send(const std::vector<usage::UsageAgent::Outgoing>& aOutgoing);

  asio::io_context& context;
  core::InstanceId self;
  LoadExchange& exchange;
  PathMetrics& metrics;
  FindHolder findHolder;
  OnInput onInput;
  usage::UsageAgent agent;
};

} // namespace plantainslip::serving

#pragma once

#include <mutex>

#include <plantainslip/admission/admission.hpp>
#include <plantainslip/authority/drain_marks.hpp>
#include <plantainslip/claims/claim_book.hpp>
#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/core/random.hpp>
#include <plantainslip/limits/limit_gate.hpp>
#include <plantainslip/observe/deployment_metrics.hpp>
#include <plantainslip/observe/latency_histogram.hpp>
#include <plantainslip/observe/request_ledger.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/store.hpp>
#include <plantainslip/requests/drain_gate.hpp>
#include <plantainslip/requests/resume_token.hpp>
#include <plantainslip/retries/retry_policy.hpp>
#include <plantainslip/roles/demand_counter.hpp>
#include <plantainslip/routing/engine_knowledge.hpp>
#include <plantainslip/routing/in_flight.hpp>
#include <plantainslip/targets/engine.hpp>
#include <plantainslip/targets/plain_service.hpp>

namespace plantainslip::requests {

/// @brief State shared by the request handlers of one entry instance. Lives as long as the process.
struct RequestContext
{
  core::InstanceId instance;
  core::ZoneId zone;
  /// @brief Key that authenticates operators; if empty, all operator calls are refused.
  std::string operatorKey;
  const core::Clock& clock;
  platform::Store& store;
  targets::EngineClient& engines;
  targets::ServiceClient& services;
  claims::ClaimBook& claims;
  peers::PeerClient& peers;
  control::ViewBoard& board;
  /// @brief Signs the tokens with which callers resume answers that were cut off.
  ResumeSigner resume;

  DrainGate gate;
  observe::RequestLedger ledger;
  observe::DeploymentMetrics deployments;
  observe::LatencyHistogram timeToFirstToken;
  observe::LatencyHistogram answerDuration;
  routing::InFlight inFlight;

  std::mutex randomMutex;
  core::RandomSource random;

  observe::LatencyHistogram timeBetweenTokens{};
  routing::EngineKnowledge knowledge{};
  routing::RoutingOptions routing{};
  admission::AdmissionOptions admission{};
  retries::RetryBudget retryBudget{};
  /// @brief Targets that get no new work because they are draining before a change.
  authority::DrainMarks drainMarks{ inFlight };
  /// @brief Demand counters from which the zone's controller plans roles.
  roles::DemandCounter demand{};
  /// @brief Limits of workspaces; if null, every request is admitted.
  limits::LimitGate* limits = nullptr;
};

} // namespace plantainslip::requests

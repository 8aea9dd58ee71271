#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "fakes/raw_target.hpp"
#include "wire_fleet.hpp"

namespace plantainslip::harness {

/// @brief One instance in front of a target that sends given bytes as its response.
///
/// Besides the routes of WireFleet there are streams of a plain service: `/brief/`, `/memo/`
/// (resumable), and `/share/`, of which engines serve one request in a thousand.
class RawTargetFleet
{
public:
  /// @param aService  `models` for an engine, `desk` for a plain target
  /// @param aOtherStage  stage of a further engine with whole answers, if there is to be one
  /// @param aOther  address of a further engine that decodes, if there is to be one; it is listed
  ///                from the start, after the target
  RawTargetFleet(const std::string& aService,
                 const std::string& aStage,
                 const std::string& aResponse,
                 fakes::RawEnding aEnding,
                 const std::string& aOtherStage = "",
                 const std::optional<net::Address>& aOther = std::nullopt)
    : target(aResponse, aEnding)
  {
    if (aOther.has_value()) {
      this->fleet.WriteEntry("i-z", *aOther, "models", "decode");
    }
    this->fleet.WriteEntry(
      "i-raw", this->target.Address(), aService, aStage, "ready", fakes::RawTarget::kStartedAt);
    if (!aOtherStage.empty()) {
      this->fleet.AddTarget("i-z", "models", aOtherStage);
    }
    if (aStage != "prefill") {
      this->fleet.AddTarget("i-p", "models", "prefill");
    }
    this->fleet.AddRoute("brief", { { "kind", "stream" } });
    this->fleet.AddRoute("memo", { { "kind", "stream" }, { "allowResume", true } });
    this->fleet.AddRoute("share",
                         { { "kind", "stream" },
                           { "trafficSplit",
                             { { { "service", "models" }, { "weight", 1 } },
                               { { "service", "desk" }, { "weight", 999 } } } } });
    this->fleet.Configure(3);
    this->fleet.StartGateway();
  }

  CallerAnswer Complete(const std::string& aPath, const std::string& aBody = "the prompt")
  {
    CallerAnswer answer;
    // Refused until the instance has read the directory.
    Await("the target to be used", [&] {
      answer = this->Send(aPath, aBody);
      return this->target.CountRequests() > 0;
    });
    return answer;
  }

  CallerAnswer Send(const std::string& aPath, const std::string& aBody = "the prompt")
  {
    const std::string id = "r" + std::to_string(++this->requests);
    return this->fleet.Call("POST", aPath, id, this->headers, aBody);
  }

  bool HasMetric(const std::string& aLine) const
  {
    return this->fleet.Metrics().find(aLine) != std::string::npos;
  }

  fakes::RawTarget target;
  WireFleet fleet;
  int requests = 0;
  /// @brief Header fields of the requests.
  std::string headers = WireFleet::CompletionHeaders();
};

} // namespace plantainslip::harness

#include <plantainslip/limits/limit_messages.hpp>

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <plantainslip/limits/errors.hpp>

namespace plantainslip::limits {

namespace {

using nlohmann::json;

std::string
ToCbor(const json& aValue)
{
  const auto bytes = json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

// A share or demand that is not finite would make every sum that includes it useless.
float
ReadShare(const json& aValue)
{
  const auto share = aValue.get<float>();
  return std::isfinite(share) ? std::max(share, 0.0F) : 0.0F;
}

} // namespace

std::chrono::seconds
LimitDecision::RetryAfter() const
{
  return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(this->wait));
}

WorkspaceHash
HashWorkspace(const core::WorkspaceId& aWorkspace)
{
  return WorkspaceHash(XXH64(aWorkspace.Text().data(), aWorkspace.Text().size(), 0));
}

std::vector<core::InstanceId>
FindOwners(WorkspaceHash aWorkspace,
           const std::vector<core::InstanceId>& aInstances,
           std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, core::InstanceId>> ranked;
  ranked.reserve(aInstances.size());
  for (const core::InstanceId& instance : aInstances) {
    const std::string& name = instance.Text();
    ranked.emplace_back(XXH64(name.data(), name.size(), aWorkspace.Number()), instance);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<core::InstanceId> owners;
  for (std::size_t rank = 0; rank < std::min(aCount, ranked.size()); ++rank) {
    owners.push_back(ranked[rank].second);
  }
  return owners;
}

std::string
EncodeReport(const DemandReport& aReport)
{
  json lines = json::array();
  for (const DemandLine& line : aReport.lines) {
    lines.push_back({ line.workspace.Number(), line.demand, line.inUse });
  }
  return ToCbor({ { "from", aReport.instance.Text() }, { "lines", std::move(lines) } });
}

absl::StatusOr<DemandReport>
DecodeReport(const std::string& aBody)
{
  try {
    const json message = json::from_cbor(aBody);
    DemandReport report;
    report.instance = core::InstanceId(message.at("from").get<std::string>());
    for (const json& line : message.at("lines")) {
      report.lines.push_back({ WorkspaceHash(line.at(0).get<std::uint64_t>()),
                               ReadShare(line.at(1)),
                               ReadShare(line.at(2)) });
    }
    return report;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

std::string
EncodeLimitRequest(const LimitRequest& aRequest)
{
  return ToCbor({ aRequest.workspace.Number(),
                  static_cast<float>(aRequest.limit.requestsPerSecond),
                  static_cast<float>(aRequest.limit.tokensPerSecond),
                  aRequest.tokens.Number() });
}

absl::StatusOr<LimitRequest>
DecodeLimitRequest(const std::string& aBody)
{
  try {
    const json message = json::from_cbor(aBody);
    return LimitRequest{ WorkspaceHash(message.at(0).get<std::uint64_t>()),
                         { ReadShare(message.at(1)), ReadShare(message.at(2)) },
                         core::TokenCount(message.at(3).get<std::uint64_t>()) };
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

std::string
EncodeDecision(const LimitDecision& aDecision)
{
  return ToCbor({ aDecision.admitted, aDecision.wait.count() });
}

absl::StatusOr<LimitDecision>
DecodeDecision(const std::string& aBody)
{
  try {
    const json message = json::from_cbor(aBody);
    return LimitDecision{ message.at(0).get<bool>(),
                          std::chrono::milliseconds(message.at(1).get<std::int64_t>()) };
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

std::string
EncodeGrant(const ShareGrant& aGrant)
{
  json lines = json::array();
  for (const GrantLine& line : aGrant.lines) {
    lines.push_back({ line.workspace.Number(), line.share });
  }
  return ToCbor(lines);
}

absl::StatusOr<ShareGrant>
DecodeGrant(const std::string& aBody)
{
  try {
    ShareGrant grant;
    for (const json& line : json::from_cbor(aBody)) {
      grant.lines.push_back(
        { WorkspaceHash(line.at(0).get<std::uint64_t>()), ReadShare(line.at(1)) });
    }
    return grant;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadMessage, problem.what());
  }
}

} // namespace plantainslip::limits

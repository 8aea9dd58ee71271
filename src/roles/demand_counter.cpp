#include <plantainslip/roles/demand_counter.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/core/random.hpp>
#include <plantainslip/roles/errors.hpp>

namespace plantainslip::roles {

namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;

} // namespace

DemandCounter::DemandCounter()
{
  this->digest.process = core::MakeUniqueName();
}

void
DemandCounter::CountRequest(const core::DeploymentName& aDeployment, std::size_t aPromptBytes)
{
  const std::scoped_lock lock(this->mutex);
  DemandCounts& counts = this->digest.deployments[aDeployment];
  ++counts.requests;
  counts.promptTokens =
    core::TokenCount(counts.promptTokens.Number() + aPromptBytes / kBytesPerToken);
}

void
DemandCounter::CountAnswer(const core::DeploymentName& aDeployment, core::TokenCount aTokens)
{
  const std::scoped_lock lock(this->mutex);
  DemandCounts& counts = this->digest.deployments[aDeployment];
  ++counts.answers;
  counts.answerTokens = core::TokenCount(counts.answerTokens.Number() + aTokens.Number());
}

DemandDigest
DemandCounter::Digest() const
{
  const std::scoped_lock lock(this->mutex);
  return this->digest;
}

std::string
FormatDigest(const DemandDigest& aDigest)
{
  json deployments = json::object();
  for (const auto& [name, counts] : aDigest.deployments) {
    deployments[name.Text()] = {
      counts.requests, counts.promptTokens.Number(), counts.answers, counts.answerTokens.Number()
    };
  }
  const std::vector<std::uint8_t> bytes =
    json::to_cbor({ { "process", aDigest.process }, { "deployments", std::move(deployments) } });
  return { bytes.begin(), bytes.end() };
}

absl::StatusOr<DemandDigest>
ParseDigest(const std::string& aBody)
{
  try {
    const json message = json::from_cbor(aBody);
    DemandDigest digest;
    digest.process = message.at("process").get<std::string>();
    for (const auto& item : message.at("deployments").items()) {
      const json& line = item.value();
      digest.deployments[core::DeploymentName(item.key())] = {
        line.at(0).get<std::uint64_t>(),
        core::TokenCount(line.at(1).get<std::uint64_t>()),
        line.at(2).get<std::uint64_t>(),
        core::TokenCount(line.at(3).get<std::uint64_t>())
      };
    }
    return digest;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadDigest, problem.what());
  }
}

} // namespace plantainslip::roles

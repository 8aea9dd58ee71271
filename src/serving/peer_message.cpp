#include <plantainslip/serving/peer_message.hpp>

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

using nlohmann::json;

// Members in wire order; fractions are dropped.
constexpr std::array kDemandMembers = { &DemandTotals::prompts,     &DemandTotals::prefillMs,
                                        &DemandTotals::slackMs,     &DemandTotals::handoverTokens,
                                        &DemandTotals::prefillLate, &DemandTotals::decodeLate,
                                        &DemandTotals::streamMs,    &DemandTotals::streamTokenMs };

json
EncodeDemand(const DemandTable& aDemand)
{
  json services = json::array();
  for (const auto& [service, totals] : aDemand) {
    json entry = json::array({ service.Text() });
    for (const auto member : kDemandMembers) {
      entry.push_back(static_cast<std::uint64_t>(std::max(0.0, totals.*member)));
    }
    services.push_back(std::move(entry));
  }
  return services;
}

json
EncodePosition(const StorePosition& aPosition)
{
  return json::array({ aPosition.era.Number(), aPosition.revision.Number() });
}

// Returns whether the value is well-formed.
bool
DecodePosition(const json& aValue, StorePosition& aPosition)
{
  if (!aValue.is_array() || aValue.size() != 2 || !aValue[0].is_number_unsigned() ||
      !aValue[1].is_number_unsigned()) {
    return false;
  }
  aPosition = { StoreEra(aValue[0].get<std::uint64_t>()),
                core::Revision(aValue[1].get<std::uint64_t>()) };
  return true;
}

json
EncodeProcesses(const std::vector<TargetProcess>& aProcesses)
{
  json processes = json::array();
  for (const TargetProcess& process : aProcesses) {
    processes.push_back(json::array({ process.id.Text(), process.startedAt }));
  }
  return processes;
}

// Returns whether the value is well-formed.
bool
DecodeProcesses(const json& aValue, std::vector<TargetProcess>& aProcesses)
{
  if (!aValue.is_array()) {
    return false;
  }
  for (const json& entry : aValue) {
    if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() ||
        !entry[1].is_number_unsigned()) {
      return false;
    }
    aProcesses.push_back(
      { core::TargetId(entry[0].get<std::string>()), entry[1].get<std::uint64_t>() });
  }
  return true;
}

// Returns whether the value is well-formed.
bool
DecodeDemand(const json& aServices, DemandTable& aDemand)
{
  if (!aServices.is_array()) {
    return false;
  }
  for (const json& entry : aServices) {
    if (!entry.is_array() || entry.size() != kDemandMembers.size() + 1 || !entry[0].is_string()) {
      return false;
    }
    DemandTotals totals;
    for (std::size_t index = 0; index < kDemandMembers.size(); ++index) {
      const json& value = entry[index + 1];
      if (!value.is_number_unsigned()) {
        return false;
      }
      totals.*kDemandMembers[index] = value.get<double>();
    }
    aDemand[core::ServiceName(entry[0].get<std::string>())] = totals;
  }
  return true;
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  json loads = json::array();
  for (const auto& [target, load] : aMessage.loads) {
    json tokens = json::array();
    for (const double count : load.prefillTokens) {
      tokens.push_back(static_cast<std::uint64_t>(count));
    }
    loads.push_back(json::array({ target.Text(),
                                  static_cast<std::uint64_t>(load.requests),
                                  std::move(tokens),
                                  static_cast<std::uint64_t>(load.cacheTransfers) }));
  }
  json unreachable = json::array();
  for (const core::TargetId& target : aMessage.unreachable) {
    unreachable.push_back(target.Text());
  }
  const json message = json::array({ aMessage.sender.Text(),
                                     aMessage.sequence,
                                     EncodePosition(aMessage.configPosition),
                                     EncodePosition(aMessage.targetsPosition),
                                     std::move(loads),
                                     aMessage.zone.Text(),
                                     static_cast<std::uint64_t>(aMessage.linkMbps),
                                     aMessage.confirmedAge.count(),
                                     std::move(unreachable),
                                     EncodeDemand(aMessage.demand),
                                     EncodeProcesses(aMessage.leaving) });
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

absl::StatusOr<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  const auto bad = [] { return core::MakeError(errors::kBadAnswer, "malformed peer message"); };
  const json message = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  PeerMessage read;
  constexpr std::size_t kFields = 11;
  if (!message.is_array() || message.size() != kFields || !message[0].is_string() ||
      !message[1].is_number_unsigned() || !DecodePosition(message[2], read.configPosition) ||
      !DecodePosition(message[3], read.targetsPosition) || !message[4].is_array() ||
      !message[5].is_string() || !message[6].is_number_unsigned() ||
      !message[7].is_number_unsigned() || !message[8].is_array() ||
      !DecodeDemand(message[9], read.demand) || !DecodeProcesses(message[10], read.leaving)) {
    return bad();
  }
  read.sender = core::InstanceId(message[0].get<std::string>());
  read.sequence = message[1].get<std::uint64_t>();
  read.zone = core::ZoneId(message[5].get<std::string>());
  read.linkMbps = message[6].get<double>();
  read.confirmedAge = milliseconds(message[7].get<std::int64_t>());
  for (const json& target : message[8]) {
    if (!target.is_string()) {
      return bad();
    }
    read.unreachable.emplace_back(target.get<std::string>());
  }
  for (const json& entry : message[4]) {
    constexpr std::size_t kLoadFields = 4;
    if (!entry.is_array() || entry.size() != kLoadFields || !entry[0].is_string() ||
        !entry[1].is_number_unsigned() || !entry[2].is_array() ||
        entry[2].size() != kPriorityLevels || !entry[3].is_number_unsigned()) {
      return bad();
    }
    TargetLoad load;
    load.requests = entry[1].get<double>();
    load.cacheTransfers = entry[3].get<double>();
    for (std::size_t level = 0; level < kPriorityLevels; ++level) {
      if (!entry[2][level].is_number_unsigned()) {
        return bad();
      }
      load.prefillTokens[level] = entry[2][level].get<double>();
    }
    read.loads[core::TargetId(entry[0].get<std::string>())] = load;
  }
  return read;
}

} // namespace plantainslip::serving

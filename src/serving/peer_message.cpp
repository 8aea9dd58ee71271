#include <plantainslip/serving/peer_message.hpp>

#include <algorithm>
#include <array>
#include <cmath>

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
EncodeState(const ReplicaState& aState)
{
  return json::array(
    { aState.upTo.era.Number(), aState.upTo.revision.Number(), aState.content.Number() });
}

// Returns whether the value is well-formed.
bool
DecodeState(const json& aValue, ReplicaState& aState)
{
  constexpr std::size_t kFields = 3;
  const auto isNumber = [](const json& aField) { return aField.is_number_unsigned(); };
  if (!aValue.is_array() || aValue.size() != kFields ||
      !std::all_of(aValue.begin(), aValue.end(), isNumber)) {
    return false;
  }
  aState.upTo = { StoreEra(aValue[0].get<std::uint64_t>()),
                  core::Revision(aValue[1].get<std::uint64_t>()) };
  aState.content = ContentDigest(aValue[2].get<std::uint64_t>());
  return true;
}

// Returns whether the value is well-formed.
bool
DecodeOrigin(const json& aValue, PeerMessage& aMessage)
{
  if (!aValue.is_array() || aValue.size() != 2 || !aValue[0].is_number_unsigned() ||
      !aValue[1].is_number_unsigned()) {
    return false;
  }
  aMessage.process = ProcessId(aValue[0].get<std::uint64_t>());
  aMessage.sequence = aValue[1].get<std::uint64_t>();
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

/// Max age in a report; the conversion of a larger one to a duration could overflow.
constexpr std::uint64_t kMaxAgeMs = 3'600'000;

milliseconds
ReadAge(const json& aValue)
{
  return milliseconds(static_cast<std::int64_t>(std::min(kMaxAgeMs, aValue.get<std::uint64_t>())));
}

/// Unit of rates in messages: thousandths of a request per second.
constexpr double kRateScale = 1'000.0;

json
EncodeLimits(const std::vector<RateStatement>& aStatements)
{
  json statements = json::array();
  for (const RateStatement& statement : aStatements) {
    const auto& rate = statement.requestsPerSecond;
    statements.push_back(json::array(
      { statement.process.id.Text(),
        statement.process.startedAt,
        rate.has_value() ? json(static_cast<std::uint64_t>(*rate * kRateScale)) : json(nullptr),
        static_cast<std::uint64_t>(statement.age.count()) }));
  }
  return statements;
}

// Returns whether the value is well-formed.
bool
DecodeLimits(const json& aValue, std::vector<RateStatement>& aStatements)
{
  constexpr std::size_t kStatementFields = 4;
  if (!aValue.is_array()) {
    return false;
  }
  for (const json& entry : aValue) {
    if (!entry.is_array() || entry.size() != kStatementFields || !entry[0].is_string() ||
        !entry[1].is_number_unsigned() || !entry[3].is_number_unsigned()) {
      return false;
    }
    RateStatement statement;
    statement.process = { core::TargetId(entry[0].get<std::string>()),
                          entry[1].get<std::uint64_t>() };
    if (entry[2].is_number_unsigned()) {
      statement.requestsPerSecond = entry[2].get<double>() / kRateScale;
    }
    statement.age = ReadAge(entry[3]);
    aStatements.push_back(std::move(statement));
  }
  return true;
}

/// Unit of held tokens in messages; an engine's memory is thousands of them.
constexpr double kHeldTokensUnit = 64.0;

// Tokens held at each target, in the order of the loads; empty if none are held.
json
EncodeHeldTokens(const LoadTable& aLoads)
{
  json held = json::array();
  bool isHeld = false;
  for (const auto& [target, load] : aLoads) {
    held.push_back(static_cast<std::uint64_t>(std::ceil(load.heldTokens / kHeldTokensUnit)));
    isHeld = isHeld || load.heldTokens > 0.0;
  }
  return isHeld ? held : json::array();
}

// Returns whether the value is well-formed.
bool
DecodeHeldTokens(const json& aHeld, const json& aLoads, LoadTable& aTable)
{
  if (!aHeld.is_array() || aHeld.size() != aLoads.size()) {
    return false;
  }
  for (std::size_t index = 0; index < aHeld.size(); ++index) {
    if (!aHeld[index].is_number_unsigned()) {
      return false;
    }
    aTable[core::TargetId(aLoads[index][0].get<std::string>())].heldTokens =
      aHeld[index].get<double>() * kHeldTokensUnit;
  }
  return true;
}

json
EncodeTraits(const TraitSet& aTraits)
{
  json numbers = json::array();
  for (const Trait trait : aTraits) {
    numbers.push_back(trait.Number());
  }
  return numbers;
}

json
EncodeCrashes(const CrashReport& aReport)
{
  json suspects = json::array();
  for (const CrashReport::Suspect& suspect : aReport.suspects) {
    suspects.push_back(json::array({ suspect.target.Text(),
                                     suspect.age.count(),
                                     EncodeTraits(suspect.traits),
                                     suspect.isRepeat }));
  }
  json answered = json::array();
  for (const CrashReport::Answered& answer : aReport.answered) {
    answered.push_back(json::array({ answer.trait.Number(), answer.age.count() }));
  }
  json quarantined = json::array();
  for (const CrashReport::Quarantined& entry : aReport.quarantined) {
    quarantined.push_back(
      json::array({ EncodeTraits(entry.traits), entry.age.count(), entry.outages }));
  }
  json answerAges = json::array();
  for (const milliseconds age : aReport.answerAges) {
    answerAges.push_back(age.count());
  }
  return json::array(
    { std::move(suspects), std::move(answered), std::move(quarantined), std::move(answerAges) });
}

bool
IsNumberList(const json& aValue)
{
  return aValue.is_array() && std::all_of(aValue.begin(), aValue.end(), [](const json& aNumber) {
           return aNumber.is_number_unsigned();
         });
}

// Returns the traits in the order that trait sets have.
TraitSet
ReadTraits(const json& aNumbers)
{
  TraitSet traits;
  for (const json& number : aNumbers) {
    traits.push_back(Trait::FromNumber(number.get<std::uint64_t>()));
  }
  std::sort(traits.begin(), traits.end());
  return traits;
}

bool
DecodeSuspects(const json& aSuspects, CrashReport& aCrashes)
{
  for (const json& entry : aSuspects) {
    constexpr std::size_t kFields = 4;
    if (!entry.is_array() || entry.size() != kFields || !entry[0].is_string() ||
        !entry[1].is_number_unsigned() || !IsNumberList(entry[2]) || !entry[3].is_boolean()) {
      return false;
    }
    aCrashes.suspects.push_back({ core::TargetId(entry[0].get<std::string>()),
                                  ReadTraits(entry[2]),
                                  ReadAge(entry[1]),
                                  entry[3].get<bool>() });
  }
  return true;
}

// Returns whether the value is well-formed.
bool
DecodeCrashes(const json& aReport, CrashReport& aCrashes)
{
  constexpr std::size_t kLists = 4;
  if (!aReport.is_array() || aReport.size() != kLists ||
      !std::all_of(
        aReport.begin(), aReport.end(), [](const auto& aList) { return aList.is_array(); })) {
    return false;
  }
  for (const json& entry : aReport[1]) {
    if (!IsNumberList(entry) || entry.size() != 2) {
      return false;
    }
    aCrashes.answered.push_back(
      { Trait::FromNumber(entry[0].get<std::uint64_t>()), ReadAge(entry[1]) });
  }
  for (const json& entry : aReport[2]) {
    constexpr std::size_t kFields = 3;
    if (!entry.is_array() || entry.size() != kFields || !IsNumberList(entry[0]) ||
        !entry[1].is_number_unsigned() || !entry[2].is_number_unsigned()) {
      return false;
    }
    aCrashes.quarantined.push_back(
      { ReadTraits(entry[0]), ReadAge(entry[1]), entry[2].get<std::size_t>() });
  }
  for (const json& age : aReport[3]) {
    if (!age.is_number_unsigned()) {
      return false;
    }
    aCrashes.answerAges.push_back(ReadAge(age));
  }
  return DecodeSuspects(aReport[0], aCrashes);
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
  json message = json::array({ aMessage.sender.Text(),
                               json::array({ aMessage.process.Number(), aMessage.sequence }),
                               EncodeState(aMessage.configState),
                               EncodeState(aMessage.targetsState),
                               std::move(loads),
                               aMessage.zone.Text(),
                               static_cast<std::uint64_t>(aMessage.linkMbps),
                               aMessage.confirmedAge.count(),
                               std::move(unreachable),
                               EncodeDemand(aMessage.demand),
                               EncodeProcesses(aMessage.leaving),
                               EncodeLimits(aMessage.limits) });
  // Rare, and unknown to instances of earlier versions.
  const bool isHolder = aMessage.heldToken.Number() > 0;
  json held = EncodeHeldTokens(aMessage.loads);
  if (!aMessage.crashes.Empty() || isHolder || !held.empty()) {
    message.push_back(EncodeCrashes(aMessage.crashes));
  }
  if (isHolder || !held.empty()) {
    message.push_back(aMessage.heldToken.Number());
  }
  if (!held.empty()) {
    message.push_back(std::move(held));
  }
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
  constexpr std::size_t kFields = 12;
  constexpr std::size_t kHolderField = 13;
  constexpr std::size_t kHeldField = 14;
  if (!message.is_array() || message.size() < kFields || !message[0].is_string() ||
      !DecodeOrigin(message[1], read) || !DecodeState(message[2], read.configState) ||
      !DecodeState(message[3], read.targetsState) || !message[4].is_array() ||
      !message[5].is_string() || !message[6].is_number_unsigned() ||
      !message[7].is_number_unsigned() || !message[8].is_array() ||
      !DecodeDemand(message[9], read.demand) || !DecodeProcesses(message[10], read.leaving) ||
      !DecodeLimits(message[11], read.limits) ||
      (message.size() > kFields && !DecodeCrashes(message[kFields], read.crashes)) ||
      (message.size() > kHolderField && !message[kHolderField].is_number_unsigned())) {
    return bad();
  }
  if (message.size() > kHolderField) {
    read.heldToken = core::FencingToken(message[kHolderField].get<std::uint64_t>());
  }
  read.sender = core::InstanceId(message[0].get<std::string>());
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
  if (message.size() > kHeldField &&
      !DecodeHeldTokens(message[kHeldField], message[4], read.loads)) {
    return bad();
  }
  return read;
}

} // namespace plantainslip::serving

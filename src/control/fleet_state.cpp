#include <plantainslip/control/fleet_state.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/peers/errors.hpp>

namespace plantainslip::control {

namespace {

using nlohmann::json;

std::string
FormatAddress(const net::Address& aAddress)
{
  return aAddress.port == 0 ? std::string() : aAddress.Text();
}

net::Address
ParseAddress(const json& aJson)
{
  return net::Address::Parse(aJson.get<std::string>()).value_or(net::Address{});
}

json
FormatListed(const platform::ListedInstance& aListed)
{
  return json::array({ aListed.name,
                       aListed.zone.Text(),
                       static_cast<unsigned>(aListed.kind),
                       FormatAddress(aListed.address),
                       FormatAddress(aListed.peerAddress),
                       aListed.service.Text(),
                       aListed.leaving });
}

platform::ListedInstance
ParseListed(const json& aItem)
{
  platform::ListedInstance listed;
  listed.name = aItem.at(0).get<std::string>();
  listed.zone = core::ZoneId(aItem.at(1).get<std::string>());
  listed.kind = static_cast<platform::ListedKind>(aItem.at(2).get<unsigned>() % 3);
  listed.address = ParseAddress(aItem.at(3));
  listed.peerAddress = ParseAddress(aItem.at(4));
  listed.service = core::ServiceName(aItem.at(5).get<std::string>());
  listed.leaving = aItem.at(6).get<bool>();
  return listed;
}

FleetState
ParseState(const json& aJson)
{
  FleetState state;
  state.version = core::ConfigVersion(aJson.at("version").get<std::uint64_t>());
  state.record.revision = core::Revision(aJson.at("revision").get<std::uint64_t>());
  state.record.value = aJson.at("record").get<std::string>();
  for (const json& item : aJson.at("list")) {
    state.list.push_back(ParseListed(item));
  }
  for (const json& item : aJson.at("marks")) {
    state.marks.push_back(
      { item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>(), item.at(2).get<bool>() });
  }
  return state;
}

std::string
ToBytes(const json& aJson)
{
  std::string bytes;
  json::to_cbor(aJson, bytes);
  return bytes;
}

} // namespace

void
FleetStateBoard::Publish(std::shared_ptr<const FleetState> aState)
{
  const std::scoped_lock lock(this->mutex);
  this->state = std::move(aState);
}

std::shared_ptr<const FleetState>
FleetStateBoard::Current() const
{
  const std::scoped_lock lock(this->mutex);
  return this->state;
}

std::string
FormatFleetStateRequest(core::ConfigVersion aKnown)
{
  return ToBytes({ { "known", aKnown.Number() } });
}

std::string
FormatFleetState(const FleetState& aState)
{
  json list = json::array();
  for (const platform::ListedInstance& listed : aState.list) {
    list.push_back(FormatListed(listed));
  }
  json marks = json::array();
  for (const membership::LeavingMark& mark : aState.marks) {
    marks.push_back(json::array({ mark.name, mark.version, mark.leaving }));
  }
  return ToBytes({ { "version", aState.version.Number() },
                   { "revision", aState.record.revision.Number() },
                   { "record", aState.record.value },
                   { "list", std::move(list) },
                   { "marks", std::move(marks) } });
}

absl::StatusOr<FleetState>
ParseFleetState(const std::string& aBytes)
{
  try {
    return ParseState(json::from_cbor(aBytes));
  } catch (const json::exception& problem) {
    return core::MakeError(peers::errors::kBadMessage, problem.what());
  }
}

peers::CallHandler
MakeFleetStateHandler(const FleetStateBoard& aBoard)
{
  return [&aBoard](const std::string& aBody) -> absl::StatusOr<std::string> {
    const json request = json::from_cbor(aBody, true, false);
    if (!request.is_object()) {
      return core::MakeError(peers::errors::kBadMessage, kFleetStateKind);
    }
    FleetState response = *aBoard.Current();
    if (response.version.Number() <= request.value("known", std::uint64_t{ 0 })) {
      response.record.value.clear();
    }
    return FormatFleetState(response);
  };
}

} // namespace plantainslip::control

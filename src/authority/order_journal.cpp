#include <plantainslip/authority/order_journal.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/authority/errors.hpp>

namespace plantainslip::authority {

namespace {

using nlohmann::json;
using targets::OrderKind;

absl::StatusOr<OrderKind>
ParseKind(const std::string& aText)
{
  for (const OrderKind kind :
       { OrderKind::kLoadModel, OrderKind::kLoadAdapter, OrderKind::kSetRole }) {
    if (targets::OrderKindName(kind) == aText) {
      return kind;
    }
  }
  return core::MakeError(errors::kBadJournal, "kind '" + aText + "'");
}

absl::StatusOr<targets::EngineOrder>
ParseOrder(const json& aLine)
{
  const auto kind = ParseKind(aLine.at("kind").get<std::string>());
  const auto role = targets::ParseRole(aLine.at("role").get<std::string>());
  if (!kind.ok() || !role.ok()) {
    return core::MakeError(errors::kBadJournal, "kind or role cannot be read");
  }
  targets::EngineOrder order;
  order.order = core::OrderId(aLine.at("order").get<std::string>());
  order.token = core::FencingToken(aLine.at("token").get<std::uint64_t>());
  order.kind = *kind;
  order.role = *role;
  order.model = aLine.at("model").get<std::string>();
  order.version = aLine.at("version").get<std::string>();
  order.adapter = aLine.at("adapter").get<std::string>();
  return order;
}

json
FormatEntry(const JournalEntry& aEntry)
{
  const targets::EngineOrder& order = aEntry.order;
  return { { "order", order.order.Text() },
           { "token", order.token.Number() },
           { "kind", targets::OrderKindName(order.kind) },
           { "role", targets::RoleName(order.role) },
           { "model", order.model },
           { "version", order.version },
           { "adapter", order.adapter },
           { "phase", aEntry.phase == OrderPhase::kOpen ? "open" : "settled" } };
}

} // namespace

OrderJournal::OrderJournal(platform::Store& aStore, core::ZoneId aZone)
  : store(aStore)
  , zone(std::move(aZone))
{
}

std::string
OrderJournal::KeyOf(const core::TargetId& aTarget) const
{
  return "orders/" + this->zone.Text() + "/" + aTarget.Text();
}

absl::StatusOr<JournalEntry>
OrderJournal::Read(const core::TargetId& aTarget)
{
  const auto stored = this->store.Get(this->KeyOf(aTarget));
  if (!stored.ok()) {
    return core::MakeError(errors::kNotJournaled, stored.status().message());
  }
  JournalEntry entry;
  entry.target = aTarget;
  if (!stored->has_value()) {
    return entry;
  }
  try {
    const json line = json::parse((*stored)->value);
    auto order = ParseOrder(line);
    if (!order.ok()) {
      return order.status();
    }
    entry.order = *std::move(order);
    entry.phase = line.at("phase") == "open" ? OrderPhase::kOpen : OrderPhase::kSettled;
    entry.revision = (*stored)->revision;
    return entry;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadJournal, problem.what());
  }
}

absl::StatusOr<JournalEntry>
OrderJournal::Write(JournalEntry aEntry)
{
  const auto written = this->store.CompareAndSwap(
    this->KeyOf(aEntry.target), aEntry.revision, FormatEntry(aEntry).dump());
  if (!written.ok()) {
    return core::MakeError(errors::kNotJournaled, written.status().message());
  }
  aEntry.revision = *written;
  return aEntry;
}

} // namespace plantainslip::authority

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
  return core::MakeError(errors::kBadJournal, "unknown order kind '" + aText + "'");
}

absl::StatusOr<targets::EngineOrder>
ParseOrder(const json& aObject)
{
  const auto kind = ParseKind(aObject.at("kind").get<std::string>());
  const auto role = targets::ParseRole(aObject.at("role").get<std::string>());
  if (!kind.ok() || !role.ok()) {
    return core::MakeError(errors::kBadJournal, "unknown order kind or role");
  }
  targets::EngineOrder order;
  order.order = core::OrderId(aObject.at("order").get<std::string>());
  order.token = core::FencingToken(aObject.at("token").get<std::uint64_t>());
  order.kind = *kind;
  order.role = *role;
  order.model = aObject.at("model").get<std::string>();
  order.version = aObject.at("version").get<std::string>();
  order.adapter = aObject.at("adapter").get<std::string>();
  return order;
}

constexpr std::pair<OrderPhase, const char*> kPhaseNames[] = {
  { OrderPhase::kDraining, "draining" },
  { OrderPhase::kOpen, "open" },
  { OrderPhase::kSettled, "settled" }
};

std::string
PhaseName(OrderPhase aPhase)
{
  for (const auto& [phase, name] : kPhaseNames) {
    if (phase == aPhase) {
      return name;
    }
  }
  return "settled";
}

absl::StatusOr<OrderPhase>
ParsePhase(const std::string& aText)
{
  for (const auto& [phase, name] : kPhaseNames) {
    if (name == aText) {
      return phase;
    }
  }
  return core::MakeError(errors::kBadJournal, "unknown order phase '" + aText + "'");
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
           { "phase", PhaseName(aEntry.phase) } };
}

absl::StatusOr<JournalEntry>
ParseEntry(const core::TargetId& aTarget, const platform::StoredValue& aStored)
{
  try {
    const json object = json::parse(aStored.value);
    auto order = ParseOrder(object);
    const auto phase = ParsePhase(object.at("phase").get<std::string>());
    if (!order.ok() || !phase.ok()) {
      return order.ok() ? phase.status() : order.status();
    }
    return JournalEntry{ aTarget, *std::move(order), *phase, aStored.revision };
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadJournal, problem.what());
  }
}

DrainMark
ToDrainMark(const JournalEntry& aEntry)
{
  return { aEntry.target, aEntry.revision, aEntry.phase != OrderPhase::kSettled };
}

} // namespace

OrderJournal::OrderJournal(platform::Store& aStore, core::ZoneId aZone)
  : store(aStore)
  , zone(std::move(aZone))
{
}

std::string
OrderJournal::Prefix() const
{
  return "orders/" + this->zone.Text() + "/";
}

absl::Status
OrderJournal::Load()
{
  if (this->loaded) {
    return absl::OkStatus();
  }
  const std::string prefix = this->Prefix();
  const auto values = this->store.List(prefix);
  if (!values.ok()) {
    return core::MakeError(errors::kNotJournaled, values.status().message());
  }
  for (const platform::KeyedValue& value : *values) {
    const core::TargetId target(value.key.substr(prefix.size()));
    auto entry = ParseEntry(target, value.stored);
    if (!entry.ok()) {
      return entry.status();
    }
    this->entries[target] = *std::move(entry);
  }
  this->loaded = true;
  return absl::OkStatus();
}

void
OrderJournal::Invalidate()
{
  this->loaded = false;
  this->entries.clear();
}

JournalEntry
OrderJournal::Entry(const core::TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end()) {
    return found->second;
  }
  JournalEntry empty;
  empty.target = aTarget;
  return empty;
}

std::vector<JournalEntry>
OrderJournal::Entries() const
{
  std::vector<JournalEntry> all;
  for (const auto& [target, entry] : this->entries) {
    all.push_back(entry);
  }
  return all;
}

absl::StatusOr<JournalEntry>
OrderJournal::Write(JournalEntry aEntry)
{
  ++this->writeAttempts;
  const auto written = this->store.CompareAndSwap(
    this->Prefix() + aEntry.target.Text(), aEntry.revision, FormatEntry(aEntry).dump());
  if (!written.ok()) {
    // The stored entry is unknown now, so the next Load() reads it again.
    this->Invalidate();
    return core::MakeError(errors::kNotJournaled, written.status().message());
  }
  aEntry.revision = *written;
  this->entries[aEntry.target] = aEntry;
  return aEntry;
}

std::vector<DrainMark>
OrderJournal::Marks() const
{
  std::vector<DrainMark> marks;
  for (const auto& [target, entry] : this->entries) {
    marks.push_back(ToDrainMark(entry));
  }
  return marks;
}

absl::StatusOr<std::vector<DrainMark>>
ReadDrainMarks(platform::Store& aStore, const core::ZoneId& aZone)
{
  OrderJournal journal(aStore, aZone);
  if (const absl::Status loaded = journal.Load(); !loaded.ok()) {
    return loaded;
  }
  return journal.Marks();
}

} // namespace plantainslip::authority

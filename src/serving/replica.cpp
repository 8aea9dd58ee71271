#include <plantainslip/serving/replica.hpp>

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

using nlohmann::json;
using std::chrono::milliseconds;

void
Replica::Merge(const StoreItem& aItem)
{
  StoreItem& known = this->items[aItem.key];
  if (aItem.revision <= known.revision) {
    return;
  }
  this->removalCount -= known.removed ? 1 : 0;
  this->removalCount += aItem.removed ? 1 : 0;
  known = aItem;
}

void
Replica::Apply(const StoreItems& aItems, bool aIsSnapshot)
{
  if (aIsSnapshot && aItems.upTo < this->upTo) {
    return;
  }
  std::set<std::string> listed;
  for (const StoreItem& item : aItems.items) {
    listed.insert(item.key);
    this->Merge(item);
  }
  if (aIsSnapshot) {
    for (auto& [key, item] : this->items) {
      if (!item.removed && !listed.contains(key) && item.revision <= aItems.upTo) {
        // The revision of the removal is unknown; it is the list's revision at the latest.
        item.removed = true;
        item.value.clear();
        item.revision = aItems.upTo;
        ++this->removalCount;
      }
    }
    this->removalsKnownFrom =
      this->upTo == core::Revision(0) ? aItems.upTo : this->removalsKnownFrom;
  }
  this->upTo = std::max(this->upTo, aItems.upTo);
  if (this->removalCount > kMaxRemovals) {
    std::erase_if(this->items, [](const auto& aEntry) { return aEntry.second.removed; });
    this->removalCount = 0;
    this->removalsKnownFrom = this->upTo;
  }
}

ReplicaChanges
Replica::ChangesAfter(core::Revision aAfter) const
{
  ReplicaChanges changes;
  changes.isSnapshot = aAfter < this->removalsKnownFrom;
  changes.changes.upTo = this->upTo;
  for (const auto& [key, item] : this->items) {
    const bool missing = changes.isSnapshot ? !item.removed : item.revision > aAfter;
    if (missing) {
      changes.changes.items.push_back(item);
    }
  }
  return changes;
}

std::string
EncodeChanges(const ReplicaChanges& aChanges)
{
  json items = json::array();
  for (const StoreItem& item : aChanges.changes.items) {
    const json::binary_t::container_type bytes(item.value.begin(), item.value.end());
    items.push_back(
      json::array({ item.key, item.revision.Number(), item.removed, json::binary(bytes) }));
  }
  const json sinceOutage =
    aChanges.sinceOutage.has_value()
      ? json(static_cast<std::uint64_t>(std::max<std::int64_t>(0, aChanges.sinceOutage->count())))
      : json(nullptr);
  const json message = json::array(
    { aChanges.changes.upTo.Number(), aChanges.isSnapshot, sinceOutage, std::move(items) });
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

absl::StatusOr<ReplicaChanges>
DecodeChanges(std::string_view aBytes)
{
  const auto bad = [] {
    return core::MakeError(errors::kBadAnswer, "malformed changes from a peer");
  };
  const json message = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  constexpr std::size_t kFields = 4;
  if (!message.is_array() || message.size() != kFields || !message[0].is_number_unsigned() ||
      !message[1].is_boolean() || !message[3].is_array()) {
    return bad();
  }
  ReplicaChanges read;
  read.changes.upTo = core::Revision(message[0].get<std::uint64_t>());
  read.isSnapshot = message[1].get<bool>();
  if (message[2].is_number_unsigned()) {
    read.sinceOutage = milliseconds(message[2].get<std::int64_t>());
  }
  for (const json& entry : message[3]) {
    constexpr std::size_t kItemFields = 4;
    if (!entry.is_array() || entry.size() != kItemFields || !entry[0].is_string() ||
        !entry[1].is_number_unsigned() || !entry[2].is_boolean() || !entry[3].is_binary()) {
      return bad();
    }
    StoreItem item;
    item.key = entry[0].get<std::string>();
    item.revision = core::Revision(entry[1].get<std::uint64_t>());
    item.removed = entry[2].get<bool>();
    const auto& bytes = entry[3].get_binary();
    item.value.assign(bytes.begin(), bytes.end());
    read.changes.items.push_back(std::move(item));
  }
  return read;
}

} // namespace plantainslip::serving

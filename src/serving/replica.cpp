#include <plantainslip/serving/replica.hpp>

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

using nlohmann::json;

namespace {

// Returns an item's part of the content digest, which is the exclusive or of the parts.
std::uint64_t
DigestOf(const StoreItem& aItem)
{
  const bool isPresent = !aItem.removed && aItem.position != StorePosition{};
  const std::uint64_t position = FencingTokenAt(aItem.position).Number();
  return isPresent ? XXH64(aItem.key.data(), aItem.key.size(), position) : 0;
}

} // namespace

void
Replica::Replace(StoreItem& aKnown, const StoreItem& aNew)
{
  this->content ^= DigestOf(aKnown) ^ DigestOf(aNew);
  this->removalCount -= aKnown.removed ? 1 : 0;
  this->removalCount += aNew.removed ? 1 : 0;
  aKnown = aNew;
}

void
Replica::Merge(const StoreItem& aItem)
{
  StoreItem& known = this->items[aItem.key];
  if (aItem.position <= known.position) {
    return;
  }
  this->Replace(known, aItem);
}

void
Replica::DropKnown(StoreItems& aChanges) const
{
  std::erase_if(aChanges.items,
                [this](const StoreItem& aItem) { return aItem.position <= this->upTo; });
}

bool
Replica::Apply(const StoreItems& aItems, bool aIsSnapshot)
{
  const bool isOlder = aItems.upTo < this->upTo;
  const bool isOtherEra = aItems.upTo.era != this->upTo.era;
  if (aIsSnapshot ? isOlder : isOtherEra) {
    return false;
  }
  std::set<std::string> listed;
  for (const StoreItem& item : aItems.items) {
    listed.insert(item.key);
    this->Merge(item);
  }
  if (aIsSnapshot) {
    for (auto& [key, item] : this->items) {
      if (!item.removed && !listed.contains(key) && item.position <= aItems.upTo) {
        // The revision of the removal is unknown; it is the list's revision at the latest.
        this->Replace(item, { key, "", aItems.upTo, true });
      }
    }
    const bool isFirst = this->upTo == StorePosition{};
    this->removalsKnownFrom = isFirst || isOtherEra ? aItems.upTo : this->removalsKnownFrom;
  }
  this->upTo = std::max(this->upTo, aItems.upTo);
  if (this->removalCount > kMaxRemovals) {
    std::erase_if(this->items, [](const auto& aEntry) { return aEntry.second.removed; });
    this->removalCount = 0;
    this->removalsKnownFrom = this->upTo;
  }
  return true;
}

ReplicaChanges
Replica::ChangesAfter(StorePosition aAfter) const
{
  ReplicaChanges changes;
  changes.isSnapshot = aAfter < this->removalsKnownFrom || aAfter.era != this->upTo.era;
  changes.changes.upTo = this->upTo;
  for (const auto& [key, item] : this->items) {
    const bool missing = changes.isSnapshot ? !item.removed : item.position > aAfter;
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
    items.push_back(json::array(
      { item.key, item.position.revision.Number(), item.removed, json::binary(bytes) }));
  }
  // All items that are sent are of the era that they are complete up to.
  const json message = json::array({ aChanges.changes.upTo.era.Number(),
                                     aChanges.changes.upTo.revision.Number(),
                                     aChanges.isSnapshot,
                                     std::move(items) });
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
      !message[1].is_number_unsigned() || !message[2].is_boolean() || !message[3].is_array()) {
    return bad();
  }
  ReplicaChanges read;
  const StoreEra era(message[0].get<std::uint64_t>());
  read.changes.upTo = { era, core::Revision(message[1].get<std::uint64_t>()) };
  read.isSnapshot = message[2].get<bool>();
  for (const json& entry : message[3]) {
    constexpr std::size_t kItemFields = 4;
    if (!entry.is_array() || entry.size() != kItemFields || !entry[0].is_string() ||
        !entry[1].is_number_unsigned() || !entry[2].is_boolean() || !entry[3].is_binary()) {
      return bad();
    }
    StoreItem item;
    item.key = entry[0].get<std::string>();
    item.position = { era, core::Revision(entry[1].get<std::uint64_t>()) };
    item.removed = entry[2].get<bool>();
    const auto& bytes = entry[3].get_binary();
    item.value.assign(bytes.begin(), bytes.end());
    read.changes.items.push_back(std::move(item));
  }
  return read;
}

} // namespace plantainslip::serving

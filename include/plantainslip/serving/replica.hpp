#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <plantainslip/serving/replica_state.hpp>

namespace plantainslip::serving {

/// @brief Store changes as sent from one instance to another.
struct ReplicaChanges
{
  StoreItems changes;
  /// @brief Whether the items are a full list, so that missing keys were removed.
  bool isSnapshot = false;
};

/// @brief Copy of the keys under one prefix of the store, kept by every instance.
///
/// Limits the number of store calls, each of which costs, in a large fleet: a few instances watch
/// the store, the others fetch missing changes from a copy. Not thread-safe.
class Replica
{
public:
  /// @brief Maximum number of removed keys that are kept; a reader that lags further behind gets a
  ///        full list.
  static constexpr std::size_t kMaxRemovals = 1'000;

  /// @brief Applies changes, which may be out of order.
  ///
  /// Logarithmic in the number of keys for each item; a full list is also linear in the number of
  /// keys.
  /// @param aIsSnapshot  whether the items are a full list, so that missing keys were removed
  /// @return false if nothing was applied: a full list is older than the copy, or changes are of
  ///         another era, which begins with a full list
  bool Apply(const StoreItems& aItems, bool aIsSnapshot);

  /// @brief Drops changes that the copy has applied or that later ones have superseded, which are
  ///        those up to its own position. Linear in the number of changes.
  void DropKnown(StoreItems& aChanges) const;

  /// @brief Returns the changes that a reader is missing.
  /// @param aAfter  position up to which the reader is complete
  /// @return changes after the position, or a full list if the removals since then are not known;
  ///         linear in the number of keys
  ReplicaChanges ChangesAfter(StorePosition aAfter) const;

  /// @brief Returns the position up to which the copy is complete; zero before the first list.
  StorePosition UpTo() const { return this->upTo; }

  /// @brief Returns what the copy holds. Constant time.
  ReplicaState State() const { return { this->upTo, ContentDigest(this->content) }; }

private:
  void Merge(const StoreItem& aItem);
  void Replace(StoreItem& aKnown, const StoreItem& aNew);

  std::map<std::string, StoreItem> items;
  std::size_t removalCount = 0;
  /// @brief Removals before this position may have been discarded or never received.
  StorePosition removalsKnownFrom;
  StorePosition upTo;
  /// @brief Digest of the present items, see ContentDigest.
  std::uint64_t content = 0;
};

/// @brief Encodes changes as CBOR. Linear in their size.
std::string
EncodeChanges(const ReplicaChanges& aChanges);

/// @brief Decodes changes. Linear in their size.
/// @return the changes, or error 1503 (serving.bad_answer)
absl::StatusOr<ReplicaChanges>
DecodeChanges(std::string_view aBytes);

} // namespace plantainslip::serving

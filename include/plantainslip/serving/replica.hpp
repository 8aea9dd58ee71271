#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <plantainslip/serving/store_items.hpp>

namespace plantainslip::serving {

/// @brief Changes of the store as one instance hands them on to another.
struct ReplicaChanges
{
  StoreItems changes;
  /// @brief Whether the items are all that exist, so that what they lack was removed.
  bool whole = false;
  /// @brief Time since the sender's last failed call to the store, if one failed; entries that
  ///        vanish just after an outage may only have lapsed.
  std::optional<std::chrono::milliseconds> sinceOutage;
};

/// @brief Copy of the keys under one prefix of the store, kept by every instance.
///
/// Answers fleets of many instances before a store that counts each call: a few instances follow
/// the store, the others read what they lack from a copy. Not safe to share between threads.
class Replica
{
public:
  /// @brief Removed keys that are remembered; a reader that lacks more gets all keys.
  static constexpr std::size_t kMostRemovals = 1'000;

  /// @brief Takes in changes, in the order of their revisions or not.
  ///
  /// Logarithmic in the number of keys for each item.
  /// @param aWhole  whether the items are all keys, so that others were removed
  void Apply(const StoreItems& aItems, bool aWhole);

  /// @brief Gives what a reader lacks.
  /// @param aAfter  revision up to which the reader knows everything
  /// @return changes after the revision, or all keys if removals since then are not known; linear
  ///         in the number of keys
  ReplicaChanges After(core::Revision aAfter) const;

  /// @brief Gives the revision up to which the copy is complete; zero before the first list.
  core::Revision UpTo() const { return this->upTo; }

private:
  void Remember(const StoreItem& aItem);

  std::map<std::string, StoreItem> items;
  std::size_t removals = 0;
  /// @brief Removals before this revision may have been forgotten or never seen.
  core::Revision removalsFrom;
  core::Revision upTo;
};

/// @brief Writes changes as CBOR. Linear in their size.
std::string
EncodeChanges(const ReplicaChanges& aChanges);

/// @brief Reads changes.
/// @return the changes, or error 1503 (serving.bad_answer)
absl::StatusOr<ReplicaChanges>
DecodeChanges(std::string_view aBytes);

} // namespace plantainslip::serving

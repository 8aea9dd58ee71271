#pragma once

#include <plantainslip/serving/store_items.hpp>

namespace plantainslip::serving {

/// @brief Digest of the keys that exist under a prefix of the store and of the positions at which
///        they were last changed. Zero if there are none.
using ContentDigest = core::StrongNumber<struct ContentDigestTag>;

/// @brief What an instance knows of a prefix of the store, as it tells its peers.
struct ReplicaState
{
  /// @brief Position up to which all changes are applied; zero before the first list. The content
  ///        may also show later changes, as the pages of a list are read one after the other.
  StorePosition upTo;
  /// @brief Content of the copy. Two copies with the same digest have the same content, whatever
  ///        their positions: the store's revision also grows by changes of other prefixes.
  ContentDigest content;

  bool operator==(const ReplicaState&) const = default;
};

/// @brief Returns whether a copy may lack changes that another one has.
inline bool
MayLackChanges(const ReplicaState& aOwn, const ReplicaState& aOther)
{
  return aOther.upTo > aOwn.upTo && aOther.content != aOwn.content;
}

} // namespace plantainslip::serving

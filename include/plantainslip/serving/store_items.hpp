#pragma once

#include <string>
#include <vector>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::serving {

/// @brief Generation of the store's data; zero if the store does not state it.
///
/// Grows by one each time the store comes back from a copy that lacks the newest changes.
using StoreEra = core::StrongNumber<struct StoreEraTag>;

/// @brief Id of a store lease; may be given out again in a later era.
using LeaseId = core::StrongNumber<struct LeaseIdTag>;

/// @brief Lease of the store, which removes its keys when the lease ends. It holds in the era in
///        which it was granted.
struct Lease
{
  StoreEra era;
  LeaseId id;
};

/// @brief Position in the history of the store.
///
/// Revisions go back when the store comes back from a copy, and are given out again, so the era
/// counts first.
struct StorePosition
{
  StoreEra era;
  core::Revision revision;

  auto operator<=>(const StorePosition&) const = default;
};

/// @brief Returns the fencing token of a holder whose claim was written at a position. Tokens are
///        ordered like positions, also across eras, for revisions below 2^40.
inline core::FencingToken
FencingTokenAt(const StorePosition& aPosition)
{
  constexpr unsigned kRevisionBits = 40;
  return core::FencingToken((aPosition.era.Number() << kRevisionBits) +
                            aPosition.revision.Number());
}

/// @brief A key of the store with its value, or the removal of a key.
struct StoreItem
{
  std::string key;
  std::string value;
  /// @brief Position of the last change of this key.
  StorePosition position;
  bool removed = false;
  /// @brief Store lease that the key is bound to; zero if none.
  LeaseId lease = {};
};

/// @brief Listed items or changes, complete up to a position.
struct StoreItems
{
  std::vector<StoreItem> items;
  StorePosition upTo;
};

} // namespace plantainslip::serving

#pragma once

#include <string>
#include <vector>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::serving {

/// @brief Id of a store lease; the store removes its keys when the lease ends.
using LeaseId = core::StrongNumber<struct LeaseIdTag>;

/// @brief Generation of the store's data. It grows by one each time the store comes back from a
/// copy
///        that lacks the newest changes; zero if the store does not state it.
using StoreEra = core::StrongNumber<struct StoreEraTag>;

/// @brief A key of the store with its value, or the removal of a key.
struct StoreItem
{
  std::string key;
  std::string value;
  /// @brief Store revision of the last change of this key.
  core::Revision revision;
  LeaseId lease;
  bool removed = false;
};

/// @brief Listed items or changes, complete up to a store revision.
struct StoreItems
{
  std::vector<StoreItem> items;
  core::Revision upTo;
  StoreEra era;
};

} // namespace plantainslip::serving

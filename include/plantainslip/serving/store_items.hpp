#pragma once

#include <string>
#include <vector>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::serving {

/// @brief A lease of the store; its keys vanish when it ends.
using LeaseId = core::StrongNumber<struct LeaseIdTag>;

/// @brief One key of the store, or its removal.
struct StoreItem
{
  std::string key;
  std::string value;
  /// @brief Revision of the last change of this key.
  core::Revision revision;
  LeaseId lease;
  bool removed = false;
};

/// @brief Items or changes, and the revision of the store that they reach up to.
struct StoreItems
{
  std::vector<StoreItem> items;
  core::Revision upTo;
};

} // namespace plantainslip::serving

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/serving/store_items.hpp>

#include "asio.hpp"

namespace plantainslip::serving {

/// @brief Whether a read may return data that is seconds old; such a read costs a tenth.
enum class Freshness
{
  kNewest,
  kMayBeStale,
};

/// @brief Asynchronous interface of the platform's store, for the control thread.
/// @note Errors of all calls: 1507 (serving.store_unavailable), 1508
///       (serving.store_outcome_unknown), and those listed at the call.
class AsyncStore
{
public:
  virtual ~AsyncStore() = default;

  /// @brief Lists all keys with a prefix.
  virtual Task<absl::StatusOr<StoreItems>> List(std::string aPrefix, Freshness aFreshness) = 0;

  /// @brief Waits for changes after a position's revision, whatever its era: the store does not
  ///        know eras of the past. The result's position tells the era of the changes.
  /// @return the changes in order, or error 1510 (serving.history_gone)
  virtual Task<absl::StatusOr<StoreItems>> Watch(std::string aPrefix,
                                                 StorePosition aAfter,
                                                 std::chrono::milliseconds aWait) = 0;

  /// @brief Writes a key bound to a lease.
  /// @param aExpected  revision that the key must have, zero if the key must not exist; nullopt
  ///                   writes unconditionally
  /// @return the new position, or error 1509 (serving.store_conflict), also if the store's era is
  ///         not the lease's
  virtual Task<absl::StatusOr<StorePosition>> Put(std::string aKey,
                                                  std::string aValue,
                                                  Lease aLease,
                                                  std::optional<core::Revision> aExpected) = 0;

  /// @brief Grants a lease.
  virtual Task<absl::StatusOr<Lease>> Grant(std::chrono::milliseconds aDuration) = 0;

  /// @brief Extends a lease by its duration, counted from the arrival of the call.
  /// @return OK, or error 1509 (serving.store_conflict) if it has ended, as all leases do with
  /// their
  ///         era
  virtual Task<absl::Status> Renew(Lease aLease) = 0;
};

} // namespace plantainslip::serving

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::platform {

/// @brief Largest value that the store holds, in bytes.
inline constexpr std::size_t kLargestValueBytes = 1'000'000;

/// @brief One value of the store.
struct StoredValue
{
  /// @brief Grows with every write of this key.
  core::Revision revision;
  std::string value;
};

/// @brief One value of the store with its key.
struct KeyedValue
{
  std::string key;
  StoredValue stored;
};

/// @brief A lease that the store granted.
struct LeaseGrant
{
  /// @brief Grows with every change of holder and with every new grant.
  core::FencingToken token;
  /// @brief How long the lease holds, counted from before the request was sent.
  std::chrono::milliseconds duration{ 0 };
};

/// @brief The platform's key-value service.
/// @note Every call counts against the store's rate, a waiting watch as one. Calls block, and are
///       safe from any thread. Errors: 301 (platform.unavailable), 302 (platform.outcome_unknown,
///       writes only), 305 (platform.bad_answer), and those that a call names.
class Store
{
public:
  virtual ~Store() = default;

  /// @brief Reads a value. May be stale.
  /// @param aKey  the value's key
  /// @return the value, or nothing if the key is absent
  virtual absl::StatusOr<std::optional<StoredValue>> Get(const std::string& aKey) = 0;

  /// @brief Reads all values whose keys begin alike.
  /// @param aPrefix  beginning of the keys
  /// @return the values in the order of their keys
  virtual absl::StatusOr<std::vector<KeyedValue>> List(const std::string& aPrefix) = 0;

  /// @brief Writes a value if nobody else has written it.
  /// @param aKey  the value's key
  /// @param aExpected  revision last seen; zero if the key must be absent
  /// @param aValue  the new value, at most #kLargestValueBytes
  /// @return the new revision, or error 303 (platform.revision_conflict) or 306
  ///         (platform.value_too_large)
  virtual absl::StatusOr<core::Revision> CompareAndSwap(const std::string& aKey,
                                                        core::Revision aExpected,
                                                        const std::string& aValue) = 0;

  /// @brief Waits until a value is newer than a revision.
  /// @param aKey  the value's key
  /// @param aAfter  revision last seen
  /// @param aTimeout  longest wait
  /// @return the newer value, or nothing if the wait ended first
  virtual absl::StatusOr<std::optional<StoredValue>> Watch(const std::string& aKey,
                                                           core::Revision aAfter,
                                                           std::chrono::milliseconds aTimeout) = 0;

  /// @brief Takes a lease that nobody holds.
  /// @param aName  the lease's name
  /// @param aHolder  who takes it
  /// @param aDuration  how long it holds
  /// @return the grant with a new fencing token, or error 304 (platform.lease_held)
  virtual absl::StatusOr<LeaseGrant> AcquireLease(const std::string& aName,
                                                  const std::string& aHolder,
                                                  std::chrono::milliseconds aDuration) = 0;

  /// @brief Prolongs a lease that is still held under this token.
  /// @param aName  the lease's name
  /// @param aToken  fencing token of the grant
  /// @param aDuration  how long it holds from now
  /// @return the grant, or error 304 (platform.lease_held) if it lapsed or another holds it
  virtual absl::StatusOr<LeaseGrant> RenewLease(const std::string& aName,
                                                core::FencingToken aToken,
                                                std::chrono::milliseconds aDuration) = 0;

  /// @brief Gives a lease back. Does nothing if it is held under another token.
  /// @param aName  the lease's name
  /// @param aToken  fencing token of the grant
  /// @return OK, or an error of the store
  virtual absl::Status ReleaseLease(const std::string& aName, core::FencingToken aToken) = 0;
};

} // namespace plantainslip::platform

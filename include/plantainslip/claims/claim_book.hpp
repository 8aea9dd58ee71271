#pragma once

#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::claims {

/// @brief Recorded answer of a request that may run at most once.
struct RecordedOutcome
{
  int status = 0;
  std::string body;
};

/// @brief What came of a claim.
struct ClaimResult
{
  /// @brief Whether the caller of Claim() is the one that may run the request.
  bool granted = false;
  /// @brief If not granted: the answer of the earlier run.
  std::optional<RecordedOutcome> recorded;
};

/// @brief Port to the claims that make a request run at most once.
/// @note Safe from any thread; calls block on the platform's store.
class ClaimBook
{
public:
  virtual ~ClaimBook() = default;

  /// @brief Claims a key before its request is handed to a target.
  /// @param aKey  the caller's key
  /// @param aRequest  the claimer's own request, unique to this try
  /// @return whether the request may run or what was recorded; or error 651
  ///         (claims.claimed_before), 652 (claims.store_unavailable) or 653 (claims.bad_key)
  virtual absl::StatusOr<ClaimResult> Claim(const core::IdempotencyKey& aKey,
                                            const core::RequestId& aRequest) = 0;

  /// @brief Records the answer of a run for callers that ask again.
  /// @return OK, or error 652 (claims.store_unavailable)
  virtual absl::Status Record(const core::IdempotencyKey& aKey,
                              const core::RequestId& aRequest,
                              const RecordedOutcome& aOutcome) = 0;
};

/// @brief Makes a book that keeps one value of the store for each key.
/// @param aStore  has to outlive the book
std::unique_ptr<ClaimBook>
MakeStoreClaimBook(platform::Store& aStore);

} // namespace plantainslip::claims

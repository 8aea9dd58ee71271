#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/claims/segment.hpp>
#include <plantainslip/core/clock.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::claims {

/// @brief Kind of the peer message that sends an operation to the owner of its bucket.
inline constexpr const char* kCommitMessage = "claim_commit";

/// @brief Result of a claim.
struct ClaimResult
{
  /// @brief Whether the caller of Claim() may run the request.
  bool granted = false;
  /// @brief If not granted: the recorded outcome of the earlier run.
  std::optional<RecordedOutcome> recorded;
};

/// @brief Interface to the claims that make a request run at most once.
/// @note Safe from any thread; calls block on the platform's store.
class ClaimBook
{
public:
  virtual ~ClaimBook() = default;

  /// @brief Claims a key before its request is sent to a target.
  /// @param aKey  the caller's key
  /// @param aAttempt  id of the claiming call, unique to this attempt
  /// @param aFingerprint  hash of the request's content; the same key with another hash is refused
  /// @return whether the request may run or the recorded outcome; or an error of 651 to 661. A
  ///         granted key is granted to no other attempt, and a refused attempt is never granted it.
  virtual absl::StatusOr<ClaimResult> Claim(const core::IdempotencyKey& aKey,
                                            const core::RequestId& aAttempt,
                                            const std::string& aFingerprint) = 0;

  /// @brief Records the outcome of a granted call, for callers that repeat the request. If the
  ///        write to the store fails, the outcome is kept in memory and written later.
  /// @return OK if the outcome is in the store, or error 652 (claims.store_unavailable)
  virtual absl::Status Record(const core::IdempotencyKey& aKey,
                              const core::RequestId& aAttempt,
                              const std::string& aFingerprint,
                              const RecordedOutcome& aOutcome) = 0;

  /// @brief Handles a #kCommitMessage from a peer.
  /// @param aBody  CBOR
  /// @return the response as CBOR, or error 659 (claims.bad_message)
  virtual absl::StatusOr<std::string> HandleCommit(const std::string& aBody) = 0;

  /// @brief Writes the outcomes whose earlier write failed. Blocks on the store.
  virtual void Flush() = 0;
};

/// @brief Finds the peer that writes a bucket's claims; nothing if this instance writes them.
using OwnerLookup = std::function<std::optional<net::Address>(std::uint64_t aBucket)>;

/// @brief Settings of a claim book.
struct ClaimBookOptions
{
  SegmentLayout layout;
  KeyWindow window;
  /// @brief Minimum time between the starts of two writes of one bucket.
  std::chrono::milliseconds commitInterval = std::chrono::milliseconds(100);
  /// @brief Timeout of a call to a bucket's owner.
  std::chrono::milliseconds peerTimeout = std::chrono::seconds(1);
  /// @brief Interval at which a background thread calls Flush(); zero starts no thread.
  std::chrono::milliseconds flushInterval = std::chrono::seconds(1);
  /// @brief If the store is unavailable, a key up to this age is assumed to be sent for the first
  ///        time; for an older key, an earlier call may have run.
  std::chrono::milliseconds maxFirstSendAge = std::chrono::seconds(2);
};

/// @brief Dependencies of a claim book; the referenced objects must outlive it.
struct ClaimBookPorts
{
  platform::Store& store;
  const core::Clock& clock;
  /// @brief Null if there are no peers.
  peers::PeerClient* peers = nullptr;
  OwnerLookup findOwner;
};

/// @brief Creates a claim book that keeps claims in segments of the store, written by group commit.
std::unique_ptr<ClaimBook>
MakeSegmentClaimBook(const ClaimBookOptions& aOptions, ClaimBookPorts aPorts);

} // namespace plantainslip::claims

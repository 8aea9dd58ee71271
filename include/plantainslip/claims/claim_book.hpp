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

/// @brief Kind of the peers' message that hands an operation to the owner of its bucket.
inline constexpr const char* kCommitMessage = "claim_commit";

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
  /// @param aAttempt  the claiming call, unique to this try
  /// @param aFingerprint  hash of what the call asks for; the same key with another is refused
  /// @return whether the request may run or what was recorded; or an error of 651 to 661. Nobody
  ///         else is granted the key afterwards, and a refused attempt is never granted it.
  virtual absl::StatusOr<ClaimResult> Claim(const core::IdempotencyKey& aKey,
                                            const core::RequestId& aAttempt,
                                            const std::string& aFingerprint) = 0;

  /// @brief Records how a granted call ended, for callers that ask again. If the store does not
  ///        take it, the end is kept and written later.
  /// @return OK if it is in the store, or error 652 (claims.store_unavailable)
  virtual absl::Status Record(const core::IdempotencyKey& aKey,
                              const core::RequestId& aAttempt,
                              const std::string& aFingerprint,
                              const RecordedOutcome& aOutcome) = 0;

  /// @brief Answers a peer's #kCommitMessage.
  /// @param aBody  CBOR
  /// @return the answer's CBOR, or error 659 (claims.bad_message)
  virtual absl::StatusOr<std::string> HandleCommit(const std::string& aBody) = 0;

  /// @brief Writes the ends that the store did not take before. Blocks on the store.
  virtual void Flush() = 0;
};

/// @brief Finds the peer that writes a bucket's claims; nothing if this instance is to write.
using OwnerLookup = std::function<std::optional<net::Address>(std::uint64_t aBucket)>;

/// @brief Settings of a book of claims.
struct ClaimBookOptions
{
  SegmentLayout layout;
  KeyWindow window;
  /// @brief Least time between two writes of one bucket.
  std::chrono::milliseconds commitInterval = std::chrono::milliseconds(100);
  /// @brief Longest wait for a bucket's owner.
  std::chrono::milliseconds peerTimeout = std::chrono::seconds(1);
  /// @brief Time between two Flush() by a thread of the book; zero starts none.
  std::chrono::milliseconds flushInterval = std::chrono::seconds(1);
  /// @brief Age up to which a key is taken for one that its caller sends for the first time, when
  ///        the store cannot be asked.
  std::chrono::milliseconds firstSend = std::chrono::seconds(2);
};

/// @brief Ports of a book of claims; all have to outlive it.
struct ClaimBookPorts
{
  platform::Store& store;
  const core::Clock& clock;
  /// @brief Null if there are no peers.
  peers::PeerClient* peers = nullptr;
  OwnerLookup findOwner;
};

/// @brief Makes a book that keeps claims in segments of the store, written by group commit.
std::unique_ptr<ClaimBook>
MakeSegmentClaimBook(const ClaimBookOptions& aOptions, ClaimBookPorts aPorts);

} // namespace plantainslip::claims

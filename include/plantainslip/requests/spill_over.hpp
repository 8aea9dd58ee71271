#pragma once

#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/peers/peer_server.hpp>
#include <plantainslip/requests/completion_request.hpp>
#include <plantainslip/requests/context.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::requests {

/// @brief Kind of the peer message that carries a spilled completion.
inline constexpr const char* kSpillKind = "generate";

/// @brief A completion forwarded to an instance in another zone, which must not forward it again.
struct SpilledCompletion
{
  core::RequestId request;
  /// @brief Attempt number on the sending instance.
  core::AttemptNumber attempt;
  /// @brief The request; its deadline is the remaining time.
  CompletionRequest completion;
  /// @brief Tokens that the caller already has.
  core::TokenOffset offset;
  /// @brief Version that the engine must have loaded; empty allows any version.
  std::string version;
};

/// @brief Encodes the message as CBOR. Linear in the prompt's length; no errors.
std::string
FormatSpilledCompletion(const SpilledCompletion& aSpilled);

/// @brief Decodes the message from CBOR. Linear in its length.
/// @return the completion, or error 701 (requests.bad_request)
absl::StatusOr<SpilledCompletion>
ParseSpilledCompletion(const std::string& aBody);

/// @brief Forwards a completion to a peer and exposes its answer as an engine's token stream.
/// @return the open answer, or error 401 (targets.unreachable), 402 (targets.refused) or 403. The
///         stream returns error 402 only if the peer confirms that nothing was run.
absl::StatusOr<std::unique_ptr<targets::TokenStream>>
OpenSpilledCompletion(peers::PeerClient& aPeers,
                      const net::Address& aPeer,
                      const SpilledCompletion& aSpilled,
                      std::chrono::milliseconds aTimeout);

/// @brief Runs a completion for an instance in another zone, on engines of the local zone.
/// @param aBody  the message, as encoded by FormatSpilledCompletion()
/// @param aSend  sends the chunks of the answer; a problem is the last chunk
/// @return OK if the message was parsed, even if the answer could not be sent, or error 701
///         (requests.bad_request)
absl::Status
HandleSpilledCompletion(RequestContext& aContext,
                        const std::string& aBody,
                        const peers::SendPiece& aSend);

} // namespace plantainslip::requests

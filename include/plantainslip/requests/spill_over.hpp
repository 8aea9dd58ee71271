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

/// @brief A completion that an instance of another zone is asked to run. It is not handed on again.
struct SpilledCompletion
{
  core::RequestId request;
  /// @brief Attempt that it is for the asking instance.
  core::AttemptNumber attempt;
  /// @brief Its deadline is the time that is left.
  CompletionRequest completion;
  /// @brief Tokens that the caller already has.
  core::TokenOffset offset;
  /// @brief Version that the engine has to have loaded; empty takes any.
  std::string version;
};

/// @brief Writes the message's CBOR. Linear in the prompt's length; no errors.
std::string
FormatSpilledCompletion(const SpilledCompletion& aSpilled);

/// @brief Reads the message's CBOR. Linear in its length.
/// @return the completion, or error 701 (requests.bad_request)
absl::StatusOr<SpilledCompletion>
ParseSpilledCompletion(const std::string& aBody);

/// @brief Asks a peer for a completion, as if the peer were an engine.
/// @return the open answer, or error 401 (targets.unreachable), 402 (targets.refused) or 403. The
///         stream gives error 402 as long as the peer proves that nothing was run.
absl::StatusOr<std::unique_ptr<targets::TokenStream>>
OpenSpilledCompletion(peers::PeerClient& aPeers,
                      const net::Address& aPeer,
                      const SpilledCompletion& aSpilled,
                      std::chrono::milliseconds aTimeout);

/// @brief Runs a completion for an instance of another zone, on engines of the own zone.
/// @param aBody  the message, as FormatSpilledCompletion() writes it
/// @param aSend  takes the answer's pieces; a problem is the last piece
/// @return OK if the answer or the problem was sent whole, or error 701 (requests.bad_request)
absl::Status
HandleSpilledCompletion(RequestContext& aContext,
                        const std::string& aBody,
                        const peers::SendPiece& aSend);

} // namespace plantainslip::requests

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::targets {

/// @brief Which phases of a request an engine works on.
enum class EngineRole
{
  kMixed,
  kPrefill,
  kDecode,
};

/// @brief Gives a role's name on the wire: `mixed`, `prefill` or `decode`. Constant time.
std::string
RoleName(EngineRole aRole);

/// @brief Reads a role's name. Constant time.
/// @return the role, or error 404 (targets.bad_answer)
absl::StatusOr<EngineRole>
ParseRole(const std::string& aText);

/// @brief One attempt at a request for tokens.
struct GenerateRequest
{
  core::RequestId request;
  core::AttemptNumber attempt;
  std::string model;
  std::string version;
  std::string adapter;
  std::string prompt;
  core::TokenCount maxTokens;
  /// @brief Tokens that earlier attempts have delivered and this one skips.
  core::TokenOffset offset;
  /// @brief Higher goes first.
  int priority = 0;
  /// @brief Longest wait for the engine to begin and between two tokens.
  std::chrono::milliseconds timeout{ 0 };
};

/// @brief A piece of an answer.
struct TokenChunk
{
  core::RequestId request;
  core::AttemptNumber attempt;
  /// @brief Position of the text's first token; for the end marker, the answer's length.
  core::TokenOffset offset;
  std::string text;
  /// @brief Whether this is the end marker, which has no text.
  bool last = false;
  /// @brief Why the answer ends: `stop` or `length`.
  std::string finishReason;
};

/// @brief An answer that an engine is producing. Destroying it closes the connection.
class TokenStream
{
public:
  virtual ~TokenStream() = default;

  /// @brief Waits for the next piece.
  /// @return the piece, or error 403 (targets.lost) or 404 (targets.bad_answer)
  virtual absl::StatusOr<TokenChunk> Next() = 0;
};

/// @brief What an engine says of itself. The report lags.
struct EngineReport
{
  EngineRole role = EngineRole::kMixed;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /// @brief Whether an order is being carried out.
  bool changing = false;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  /// @brief Prompt tokens that wait for prefill.
  core::TokenCount queuedPrefill;
  /// @brief Newest order that was taken, and the highest fencing token seen.
  core::OrderId lastOrder;
  bool lastOrderDone = true;
  core::FencingToken highestToken;
};

/// @brief What an order asks of an engine.
enum class OrderKind
{
  kLoadModel,
  kLoadAdapter,
  kSetRole,
};

/// @brief Gives an order kind's name on the wire: `load_model`, `load_adapter` or `set_role`.
std::string
OrderKindName(OrderKind aKind);

/// @brief An order to an engine.
struct EngineOrder
{
  core::OrderId order;
  core::FencingToken token;
  OrderKind kind = OrderKind::kLoadModel;
  std::string model;
  std::string version;
  std::string adapter;
  EngineRole role = EngineRole::kMixed;
};

/// @brief Longest time that the bytes of an order may be under way once their sender is gone.
inline constexpr std::chrono::milliseconds kLongestOrderDelivery = std::chrono::seconds(2);

/// @brief Change of an engine's cache. Events come late and with gaps.
struct CacheEvent
{
  /// @brief Counted from one without gaps at the engine.
  std::uint64_t sequence = 0;
  /// @brief Chained hash of the prefix piece.
  std::uint64_t pieceHash = 0;
  /// @brief True if the piece came in, false if it went out.
  bool stored = false;
};

/// @brief Port to model engines. Calls block and are safe from any thread.
class EngineClient
{
public:
  virtual ~EngineClient() = default;

  /// @brief Starts an attempt.
  /// @return the open answer, or error 401 (targets.unreachable), 402 (targets.refused) or 403
  virtual absl::StatusOr<std::unique_ptr<TokenStream>> Generate(
    const net::Address& aEngine,
    const GenerateRequest& aRequest) = 0;

  /// @brief Cancels an attempt. An unknown attempt is no error.
  virtual absl::Status Cancel(const net::Address& aEngine,
                              const core::RequestId& aRequest,
                              core::AttemptNumber aAttempt) = 0;

  /// @brief Reads what the engine says of itself.
  /// @return the report, or error 401 (targets.unreachable), 403 or 404 (targets.bad_answer)
  virtual absl::StatusOr<EngineReport> ReadReport(const net::Address& aEngine) = 0;

  /// @brief Reads changes of the engine's cache.
  /// @param aAfter  sequence last seen
  /// @return newer events in order, possibly with gaps, or error 401, 403 or 404
  virtual absl::StatusOr<std::vector<CacheEvent>> ReadCacheEvents(const net::Address& aEngine,
                                                                  std::uint64_t aAfter) = 0;

  /// @brief Sends an order. The same order may be sent again.
  /// @return OK if the engine took it, or error 401, 403, 405 (targets.order_fenced) or 406
  virtual absl::Status SendOrder(const net::Address& aEngine, const EngineOrder& aOrder) = 0;
};

/// @brief Connects the port to engines by HTTP.
/// @param aTimeout  longest wait for a small whole answer
std::unique_ptr<EngineClient>
MakeHttpEngineClient(std::chrono::milliseconds aTimeout);

} // namespace plantainslip::targets

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

/// @brief Phases of a request that an engine runs.
enum class EngineRole
{
  kMixed,
  kPrefill,
  kDecode,
};

/// @brief Returns a role's name on the wire: `mixed`, `prefill` or `decode`. Constant time.
std::string
RoleName(EngineRole aRole);

/// @brief Parses a role's name. Constant time.
/// @return the role, or error 404 (targets.bad_answer)
absl::StatusOr<EngineRole>
ParseRole(const std::string& aText);

/// @brief One attempt at a token generation request.
struct GenerateRequest
{
  core::RequestId request;
  core::AttemptNumber attempt;
  std::string model;
  std::string version;
  std::string adapter;
  std::string prompt;
  core::TokenCount maxTokens;
  /// @brief Number of tokens already delivered by earlier attempts; this attempt skips them.
  core::TokenOffset offset;
  /// @brief Higher values are served first.
  int priority = 0;
  /// @brief Timeout for the response to start and for each further read.
  std::chrono::milliseconds timeout{ 0 };
};

/// @brief A chunk of a streamed answer.
struct TokenChunk
{
  core::RequestId request;
  core::AttemptNumber attempt;
  /// @brief Position of the text's first token; for the end marker, the answer's length.
  core::TokenOffset offset;
  std::string text;
  /// @brief Whether this is the end marker, which has no text.
  bool last = false;
  /// @brief Reason why the answer ended: `stop` or `length`; set in the end marker only.
  std::string finishReason;
};

/// @brief An answer that an engine is producing. Destroying it closes the connection.
class TokenStream
{
public:
  virtual ~TokenStream() = default;

  /// @brief Waits for the next chunk.
  /// @return the chunk, or error 403 (targets.lost) or 404 (targets.bad_answer)
  virtual absl::StatusOr<TokenChunk> Next() = 0;
};

/// @brief State that an engine reports. It may be out of date.
struct EngineReport
{
  EngineRole role = EngineRole::kMixed;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /// @brief Whether the engine is executing an order.
  bool changing = false;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  /// @brief Prompt tokens queued for prefill.
  core::TokenCount queuedPrefill;
  /// @brief Most recently accepted order; highestToken is the highest fencing token seen.
  core::OrderId lastOrder;
  bool lastOrderDone = true;
  core::FencingToken highestToken;
};

/// @brief Type of an order to an engine.
enum class OrderKind
{
  kLoadModel,
  kLoadAdapter,
  kSetRole,
};

/// @brief Returns an order kind's name on the wire: `load_model`, `load_adapter` or `set_role`.
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

/// @brief Maximum time for which unacknowledged bytes of an order may still be delivered after the
///        sender is gone.
inline constexpr std::chrono::milliseconds kMaxOrderDeliveryTime = std::chrono::seconds(2);

/// @brief Change of an engine's cache. Events arrive late, and some are missing.
struct CacheEvent
{
  /// @brief Assigned by the engine, consecutive from one.
  std::uint64_t sequence = 0;
  /// @brief Chained hash of the prefix block.
  std::uint64_t pieceHash = 0;
  /// @brief True if the block was stored, false if it was evicted.
  bool stored = false;
};

/// @brief Client for model engines. Calls block and are thread-safe.
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

  /// @brief Reads the engine's report.
  /// @return the report, or error 401 (targets.unreachable), 403 or 404 (targets.bad_answer)
  virtual absl::StatusOr<EngineReport> ReadReport(const net::Address& aEngine) = 0;

  /// @brief Reads changes of the engine's cache.
  /// @param aAfter  sequence number of the last event seen
  /// @return newer events in order, possibly with gaps, or error 401, 403 or 404
  virtual absl::StatusOr<std::vector<CacheEvent>> ReadCacheEvents(const net::Address& aEngine,
                                                                  std::uint64_t aAfter) = 0;

  /// @brief Sends an order. Repeating the same order is safe.
  /// @return OK if the engine accepted it, or error 401, 403, 405 (targets.order_fenced) or 406
  virtual absl::Status SendOrder(const net::Address& aEngine, const EngineOrder& aOrder) = 0;
};

/// @brief Creates a client that calls engines over HTTP.
/// @param aTimeout  timeout of all calls but Generate(), whose request has its own
std::unique_ptr<EngineClient>
MakeHttpEngineClient(std::chrono::milliseconds aTimeout);

} // namespace plantainslip::targets

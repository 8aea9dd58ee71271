#pragma once

#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::requests {

/// @brief How to handle one chunk that an engine sent.
enum class ChunkAction
{
  /// @brief The next chunk in order; forward it.
  kDeliver,
  /// @brief The end marker of a complete answer.
  kFinish,
  /// @brief A chunk of another request or attempt, or a repeated position; ignore it.
  kDrop,
  /// @brief A skipped position or an end marker at the wrong position; the attempt has failed.
  kBroken,
};

/// @brief Assembles one answer from the chunks of several attempts. No I/O.
/// @note Constant time per chunk; no errors.
class AnswerAssembly
{
public:
  /// @brief Starts an answer.
  /// @param aRequest  the request that the chunks must belong to
  /// @param aStart  tokens that the caller already has
  AnswerAssembly(core::RequestId aRequest, core::TokenOffset aStart);

  /// @brief Starts the next attempt, which continues at Offset().
  /// @return the attempt's number
  core::AttemptNumber NextAttempt();

  /// @brief Classifies a chunk, and advances Offset() if the chunk is to be delivered.
  ChunkAction ClassifyChunk(const targets::TokenChunk& aChunk);

  /// @brief Returns the position of the next token.
  core::TokenOffset Offset() const { return this->offset; }

  /// @brief Returns the number of the current attempt; zero before the first.
  core::AttemptNumber Attempt() const { return this->attempt; }

private:
  core::RequestId request;
  core::AttemptNumber attempt;
  core::TokenOffset offset;
};

} // namespace plantainslip::requests

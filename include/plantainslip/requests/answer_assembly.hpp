#pragma once

#include <plantainslip/core/ids.hpp>
#include <plantainslip/targets/engine.hpp>

namespace plantainslip::requests {

/// @brief What is to be done with one piece that an engine sent.
enum class ChunkVerdict
{
  /// @brief It is the next piece; hand it on.
  kDeliver,
  /// @brief It is the end marker of a whole answer.
  kFinish,
  /// @brief It belongs to another request or attempt, or repeats a position; ignore it.
  kDrop,
  /// @brief It skips a position or ends the answer too early; the attempt has failed.
  kBroken,
};

/// @brief Puts one answer together from the pieces of several attempts. No I/O.
/// @note Constant time per piece; no errors.
class AnswerAssembly
{
public:
  /// @brief Starts an answer.
  /// @param aRequest  the request whose pieces belong to it
  /// @param aStart  tokens that the caller already has
  AnswerAssembly(core::RequestId aRequest, core::TokenOffset aStart);

  /// @brief Begins the next attempt, which is to go on at Offset().
  /// @return the attempt's number
  core::AttemptNumber NextAttempt();

  /// @brief Judges a piece, and counts it if it is to be delivered.
  ChunkVerdict Judge(const targets::TokenChunk& aChunk);

  /// @brief Gives the position of the next token.
  core::TokenOffset Offset() const { return this->offset; }

  /// @brief Gives the present attempt; zero before the first.
  core::AttemptNumber Attempt() const { return this->attempt; }

private:
  core::RequestId request;
  core::AttemptNumber attempt;
  core::TokenOffset offset;
};

} // namespace plantainslip::requests

#pragma once

#include <chrono>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::requests {

/// @brief A caller's request for a completion, checked.
struct CompletionRequest
{
  core::DeploymentName deployment;
  std::string adapter;
  std::string prompt;
  core::TokenCount maxTokens;
  /// @brief Whether the answer goes out as server-sent events.
  bool stream = false;
  /// @brief From -10 to 10; higher goes first.
  int priority = 0;
  core::WorkspaceId workspace;
  /// @brief Token of an answer that was cut, or empty to begin a new one.
  std::string resume;
  /// @brief With a token: position of the first token that the caller does not have.
  core::TokenOffset resumeOffset;
  /// @brief Version that a resumed answer began in; empty for a new one.
  std::string version;
  /// @brief Longest time for the whole answer.
  std::chrono::milliseconds deadline{ 0 };
};

/// @brief Largest body of a completion request, in bytes.
inline constexpr std::size_t kLargestCompletionBytes = 8'000'000;

/// @brief Reads the body of `POST /v1/completions`.
/// @param aBody  JSON text; unknown fields are ignored, as callers' clients send many
/// @return the request, or error 701 (requests.bad_request) that names the field; linear in the
///         body's length
absl::StatusOr<CompletionRequest>
ParseCompletionRequest(const std::string& aBody);

} // namespace plantainslip::requests

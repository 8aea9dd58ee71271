#pragma once

#include <chrono>
#include <string>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::requests {

/// @brief A validated completion request.
struct CompletionRequest
{
  core::DeploymentName deployment;
  std::string adapter;
  std::string prompt;
  core::TokenCount maxTokens;
  /// @brief Whether the answer is streamed as server-sent events.
  bool stream = false;
  /// @brief From -10 to 10; higher values are served first.
  int priority = 0;
  core::WorkspaceId workspace;
  /// @brief Resume token of an answer that was cut off; empty for a new answer.
  std::string resume;
  /// @brief With a resume token: position of the first token that the caller has not received.
  core::TokenOffset resumeOffset;
  /// @brief Model version that a resumed answer started with; empty for a new answer.
  std::string version;
  /// @brief Time limit for the complete answer.
  std::chrono::milliseconds deadline{ 0 };
};

/// @brief Maximum body size of a completion request, in bytes.
inline constexpr std::size_t kMaxCompletionBytes = 8'000'000;

/// @brief Parses the body of `POST /v1/completions`.
/// @param aBody  JSON text; unknown fields are ignored, because clients send many of them
/// @return the request, or error 701 (requests.bad_request) that names the field; linear in the
///         body's length
absl::StatusOr<CompletionRequest>
ParseCompletionRequest(const std::string& aBody);

} // namespace plantainslip::requests

#pragma once

#include <string>

#include <plantainslip/targets/engine.hpp>

namespace plantainslip::targets {

/// @brief Parses one line of an engine's streamed answer.
/// @return the chunk, or error 404 (targets.bad_answer); linear in the line's length
absl::StatusOr<TokenChunk>
ParseTokenChunk(const std::string& aLine);

/// @brief Parses an engine's report.
/// @return the report, or error 404 (targets.bad_answer); linear in the text's length
absl::StatusOr<EngineReport>
ParseEngineReport(const std::string& aText);

} // namespace plantainslip::targets

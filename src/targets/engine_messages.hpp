#pragma once

#include <string>

#include <plantainslip/targets/engine.hpp>

namespace plantainslip::targets {

/// @brief Reads one line of an engine's answer.
/// @return the piece, or error 404 (targets.bad_answer); linear in the line's length
absl::StatusOr<TokenChunk>
ParseTokenChunk(const std::string& aLine);

/// @brief Reads what an engine says of itself.
/// @return the report, or error 404 (targets.bad_answer); linear in the text's length
absl::StatusOr<EngineReport>
ParseEngineReport(const std::string& aText);

} // namespace plantainslip::targets

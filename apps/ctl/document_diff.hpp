#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace plantainslip::ctl {

/// @brief Tells what a patch changes: one line for each value, `-` for the old and `+` for the new.
/// @param aDocument  document that the patch was made against
/// @param aChange  JSON merge patch (RFC 7386)
/// @return the lines, ordered by path; linear in the documents' sizes
std::string
DescribeChange(const nlohmann::json& aDocument, const nlohmann::json& aChange);

} // namespace plantainslip::ctl

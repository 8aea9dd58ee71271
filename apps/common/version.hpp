#pragma once

namespace plantainslip::apps {

/// @brief Version of every binary, as `--version` prints it.
inline constexpr const char* kVersion = "0.1.0";

} // namespace plantainslip::apps

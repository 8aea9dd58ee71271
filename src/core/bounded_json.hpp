#pragma once

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace plantainslip::core {

/// @brief What JSON text from outside may cost.
struct JsonBounds
{
  /// @brief Deepest nesting; deeper values would cost stack in recursive functions.
  int depth = 32;
  /// @brief Most values; each costs memory that the text's length does not bound tightly.
  std::size_t values = 100'000;
};

/// @brief Reads JSON text of bounded depth and number of values.
/// @param aText  any bytes
/// @return the value, or a status of kind invalid argument that says what is wrong; linear in the
///         text's length
absl::StatusOr<nlohmann::json>
ParseBoundedJson(const std::string& aText, JsonBounds aBounds = {});

} // namespace plantainslip::core

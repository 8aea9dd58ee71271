#pragma once

#include <string_view>

namespace plantainslip::core {

/// @brief What is known of whether a request's work was done.
enum class Outcome
{
  /// @brief No byte of the request reached a target, or a target proves that it refused it.
  kNotRun,
  /// @brief A target did the work.
  kRan,
  /// @brief The work may or may not have been done.
  kUnknown,
};

/// @brief Gives the outcome's name on the wire.
/// @param aOutcome  the outcome
/// @return `not_run`, `ran` or `unknown`; constant time, no errors
constexpr std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    default:
      return "unknown";
  }
}

} // namespace plantainslip::core

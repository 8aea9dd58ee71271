#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the admission layer, numbers 640 to 649.
namespace plantainslip::admission::errors {

/// @brief The queues have no room for a request of this priority. Example: three times the load
///        that the zone's engines can work off.
inline constexpr core::ErrorDescription kOverloaded{ 641,
                                                     "admission.overloaded",
                                                     absl::StatusCode::kResourceExhausted };
/// @brief The answer would come after its deadline. Example: 2 s of queue before a request with a
///        `deadline_ms` of 1,000.
inline constexpr core::ErrorDescription kDeadlineTooNear{ 642,
                                                          "admission.deadline_too_near",
                                                          absl::StatusCode::kUnavailable };

} // namespace plantainslip::admission::errors

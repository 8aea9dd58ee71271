#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the admission layer, numbers 640 to 649.
namespace plantainslip::admission::errors {

/// @brief The engines' queues are full for requests of this priority. Example: the load is three
///        times the capacity of the zone's engines.
inline constexpr core::ErrorDescription kOverloaded{ 641,
                                                     "admission.overloaded",
                                                     absl::StatusCode::kResourceExhausted };
/// @brief The response would be completed after the deadline. Example: an estimated wait of 2 s for
///        a request with a `deadline_ms` of 1,000.
inline constexpr core::ErrorDescription kDeadlineTooNear{ 642,
                                                          "admission.deadline_too_near",
                                                          absl::StatusCode::kUnavailable };

} // namespace plantainslip::admission::errors

#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the authority layer, numbers 800 to 899.
namespace plantainslip::authority::errors {

/// @brief Another controller has the zone's lease. Example: a controller that stands by.
inline constexpr core::ErrorDescription kNotHolder{ 801,
                                                    "authority.not_holder",
                                                    absl::StatusCode::kFailedPrecondition };
/// @brief The order could not be journaled, so it was not sent.
inline constexpr core::ErrorDescription kNotJournaled{ 802,
                                                       "authority.not_journaled",
                                                       absl::StatusCode::kUnavailable };
/// @brief A journal entry cannot be read. Example: a value that another program wrote.
inline constexpr core::ErrorDescription kBadJournal{ 803,
                                                     "authority.bad_journal",
                                                     absl::StatusCode::kDataLoss };

} // namespace plantainslip::authority::errors

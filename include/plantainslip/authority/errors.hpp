#pragma once

#include <plantainslip/core/error.hpp>

/// @brief Errors of the authority layer, numbers 800 to 849.
namespace plantainslip::authority::errors {

/// @brief Another controller holds the zone's lease. Example: a standby controller.
inline constexpr core::ErrorDescription kNotHolder{ 801,
                                                    "authority.not_holder",
                                                    absl::StatusCode::kFailedPrecondition };
/// @brief The order could not be journaled, so it was not sent.
inline constexpr core::ErrorDescription kNotJournaled{ 802,
                                                       "authority.not_journaled",
                                                       absl::StatusCode::kUnavailable };
/// @brief A journal entry cannot be parsed. Example: a value that another program wrote.
inline constexpr core::ErrorDescription kBadJournal{ 803,
                                                     "authority.bad_journal",
                                                     absl::StatusCode::kDataLoss };
/// @brief A drain message cannot be parsed. Example: truncated CBOR.
inline constexpr core::ErrorDescription kBadMessage{ 804,
                                                     "authority.bad_message",
                                                     absl::StatusCode::kInvalidArgument };
/// @brief An entry instance does not know yet which targets are draining. Example: it has just
///        started and the store is down.
inline constexpr core::ErrorDescription kMarksUnknown{ 805,
                                                       "authority.marks_unknown",
                                                       absl::StatusCode::kUnavailable };
/// @brief The timer that kills the process before its lease ends cannot be created. Example: the
///        machine's limit of pending signals is reached.
inline constexpr core::ErrorDescription kNoTermTimer{ 806,
                                                      "authority.no_term_timer",
                                                      absl::StatusCode::kResourceExhausted };

} // namespace plantainslip::authority::errors

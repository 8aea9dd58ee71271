#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/authority/drain_marks.hpp>

namespace plantainslip::authority {

/// @brief Kind of the message that a controller sends to entry instances; answered by replies.
inline constexpr const char* kDrainMarkKind = "drain_mark";
/// @brief Kind of the message by which a starting entry instance asks a peer for its marks.
inline constexpr const char* kDrainMarksKind = "drain_marks";

/// @brief Writes marks as CBOR. Linear in their number; no errors.
std::string
FormatDrainMarks(const std::vector<DrainMark>& aMarks);

/// @brief Reads what FormatDrainMarks() wrote.
/// @return the marks, or error 804 (authority.bad_message)
absl::StatusOr<std::vector<DrainMark>>
ParseDrainMarks(const std::string& aBody);

/// @brief Writes replies as CBOR. Linear in their number; no errors.
std::string
FormatDrainReplies(const std::vector<DrainReply>& aReplies);

/// @brief Reads what FormatDrainReplies() wrote.
/// @return the replies, or error 804 (authority.bad_message)
absl::StatusOr<std::vector<DrainReply>>
ParseDrainReplies(const std::string& aBody);

/// @brief Answers a message of kind #kDrainMarkKind.
absl::StatusOr<std::string>
AnswerDrainMark(DrainMarks& aMarks, const std::string& aBody);

/// @brief Answers a message of kind #kDrainMarksKind.
/// @return all marks, or error 805 (authority.marks_unknown) while none were learned
absl::StatusOr<std::string>
AnswerDrainMarks(const DrainMarks& aMarks);

} // namespace plantainslip::authority

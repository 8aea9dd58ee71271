#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/authority/drain_marks.hpp>

namespace plantainslip::authority {

/// @brief Kind of the message with which a controller sends drain marks to an entry instance. The
///        response holds a DrainReply for each mark.
inline constexpr const char* kSetDrainMarksKind = "drain_mark";
/// @brief Kind of the message with which a starting entry instance requests all drain marks that a
///        peer knows.
inline constexpr const char* kGetDrainMarksKind = "drain_marks";

/// @brief Serializes marks as CBOR. Linear in their number; no errors.
std::string
FormatDrainMarks(const std::vector<DrainMark>& aMarks);

/// @brief Parses the output of FormatDrainMarks().
/// @return the marks, or error 804 (authority.bad_message)
absl::StatusOr<std::vector<DrainMark>>
ParseDrainMarks(const std::string& aBody);

/// @brief Serializes replies as CBOR. Linear in their number; no errors.
std::string
FormatDrainReplies(const std::vector<DrainReply>& aReplies);

/// @brief Parses the output of FormatDrainReplies().
/// @return the replies, or error 804 (authority.bad_message)
absl::StatusOr<std::vector<DrainReply>>
ParseDrainReplies(const std::string& aBody);

/// @brief Handles a message of kind #kSetDrainMarksKind: applies the marks.
/// @return the serialized replies, or error 804 (authority.bad_message)
absl::StatusOr<std::string>
HandleSetDrainMarks(DrainMarks& aMarks, const std::string& aBody);

/// @brief Handles a message of kind #kGetDrainMarksKind.
/// @return all marks, serialized, or error 805 (authority.marks_unknown) if Initialize() was not
///         called yet
absl::StatusOr<std::string>
HandleGetDrainMarks(const DrainMarks& aMarks);

} // namespace plantainslip::authority

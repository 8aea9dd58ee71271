#include <plantainslip/core/error.hpp>

#include <string>

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace plantainslip::core {

namespace {

constexpr absl::string_view kNumberPayload = "plantainslip/error-number";

} // namespace

absl::Status
MakeError(const ErrorDescription& aError, absl::string_view aDetail)
{
  const std::string message =
    absl::StrCat("[", aError.number, " ", std::string(aError.name), "] ", aDetail);
  absl::Status status(aError.kind, message);
  status.SetPayload(kNumberPayload, absl::Cord(absl::StrCat(aError.number)));
  return status;
}

std::optional<int>
ErrorNumber(const absl::Status& aStatus)
{
  const auto payload = aStatus.GetPayload(kNumberPayload);
  if (!payload.has_value()) {
    return std::nullopt;
  }
  int number = 0;
  if (!absl::SimpleAtoi(std::string(*payload), &number)) {
    return std::nullopt;
  }
  return number;
}

bool
IsError(const absl::Status& aStatus, const ErrorDescription& aError)
{
  return ErrorNumber(aStatus) == aError.number;
}

} // namespace plantainslip::core

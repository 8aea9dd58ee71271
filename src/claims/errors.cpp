#include <plantainslip/claims/errors.hpp>

namespace plantainslip::claims {

core::Outcome
OutcomeOfRefusal(const absl::Status& aStatus)
{
  if (core::IsError(aStatus, errors::kAnswerNotKept)) {
    return core::Outcome::kRan;
  }
  const bool mayHaveRun = core::IsError(aStatus, errors::kClaimedBefore) ||
                          core::IsError(aStatus, errors::kKeyTooOld) ||
                          core::IsError(aStatus, errors::kEarlierCallUnknown);
  return mayHaveRun ? core::Outcome::kUnknown : core::Outcome::kNotRun;
}

} // namespace plantainslip::claims

#include "duty.hpp"

namespace plantainslip::serving {

std::string
OutcomeName(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kThrottled:
      return "throttled";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kUnknown:
      break;
  }
  return "unknown";
}

} // namespace plantainslip::serving

#include <plantainslip/targets/engine.hpp>

#include <plantainslip/targets/errors.hpp>

namespace plantainslip::targets {

core::Outcome
OutcomeOfFailure(const absl::Status& aStatus)
{
  const bool neverStarted =
    core::IsError(aStatus, errors::kUnreachable) || core::IsError(aStatus, errors::kRefused);
  return neverStarted ? core::Outcome::kNotRun : core::Outcome::kUnknown;
}

std::string
RoleName(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    default:
      return "mixed";
  }
}

absl::StatusOr<EngineRole>
ParseRole(const std::string& aText)
{
  for (const EngineRole role : { EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode }) {
    if (RoleName(role) == aText) {
      return role;
    }
  }
  return core::MakeError(errors::kBadAnswer, "role '" + aText + "'");
}

std::string
OrderKindName(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::kLoadAdapter:
      return "load_adapter";
    case OrderKind::kSetRole:
      return "set_role";
    default:
      return "load_model";
  }
}

} // namespace plantainslip::targets

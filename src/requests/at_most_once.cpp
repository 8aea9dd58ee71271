#include <plantainslip/requests/at_most_once.hpp>

#include <xxhash.h>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::requests {

namespace {

// If claiming takes longer, the caller has probably timed out, so the call is not sent.
constexpr std::chrono::milliseconds kMaxClaimDuration = std::chrono::seconds(5);

// Distinguishes different calls that were sent with the same key.
std::string
ComputeFingerprint(const core::ServiceName& aService, const targets::ServiceCall& aCall)
{
  std::uint64_t hash = 0;
  for (const std::string* part : { &aService.Text(), &aCall.method, &aCall.path, &aCall.body }) {
    hash = XXH64(part->data(), part->size(), hash);
  }
  return std::to_string(hash);
}

void
RecordOutcome(const AtMostOnceDependencies& aDependencies,
              const targets::ServiceCall& aCall,
              const std::string& aFingerprint,
              const claims::RecordedOutcome& aOutcome)
{
  const absl::Status recorded =
    aDependencies.claims.Record(aCall.key, aCall.request, aFingerprint, aOutcome);
  if (!recorded.ok()) {
    core::Log(
      core::LogLevel::kWarning,
      "outcome not recorded yet",
      { { "request", aCall.request.Text() }, { "problem", std::string(recorded.message()) } });
  }
}

AtMostOnceResult
CallClaimed(const AtMostOnceDependencies& aDependencies,
            const net::Address& aTarget,
            const targets::ServiceCall& aCall,
            const std::string& aFingerprint)
{
  auto reply = aDependencies.services.Call(aTarget, aCall);
  if (reply.ok()) {
    RecordOutcome(aDependencies,
                  aCall,
                  aFingerprint,
                  { core::Outcome::kRan, reply->status, reply->body, true });
    return { std::move(reply), core::Outcome::kRan };
  }
  const core::Outcome outcome = targets::OutcomeOfFailure(reply.status());
  // If the outcome is unknown, the claim stays open so that no call with this key runs again.
  if (outcome == core::Outcome::kNotRun) {
    RecordOutcome(aDependencies, aCall, aFingerprint, { core::Outcome::kNotRun, 0, "", true });
  }
  return { reply.status(), outcome };
}

} // namespace

AtMostOnceResult
CallAtMostOnce(const AtMostOnceDependencies& aDependencies,
               const net::Address& aTarget,
               const core::ServiceName& aService,
               const targets::ServiceCall& aCall)
{
  const core::MonotonicTime claimStartedAt = aDependencies.clock.Now();
  const std::string fingerprint = ComputeFingerprint(aService, aCall);
  const auto claim = aDependencies.claims.Claim(aCall.key, aCall.request, fingerprint);
  if (!claim.ok()) {
    return { claim.status(), claims::OutcomeOfRefusal(claim.status()) };
  }
  if (!claim->granted) {
    const claims::RecordedOutcome& recorded = *claim->recorded;
    return { targets::ServiceReply{ recorded.status, recorded.body }, core::Outcome::kRan };
  }
  if (aDependencies.clock.Now() - claimStartedAt > kMaxClaimDuration) {
    RecordOutcome(aDependencies, aCall, fingerprint, { core::Outcome::kNotRun, 0, "", true });
    return { core::MakeError(claims::errors::kGrantedLate, aCall.key.Text()),
             core::Outcome::kNotRun };
  }
  return CallClaimed(aDependencies, aTarget, aCall, fingerprint);
}

} // namespace plantainslip::requests

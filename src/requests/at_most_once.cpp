#include <plantainslip/requests/at_most_once.hpp>

#include <xxhash.h>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/core/log.hpp>
#include <plantainslip/targets/errors.hpp>

namespace plantainslip::requests {

namespace {

// A claim that took longer belongs to a caller that has probably given up, so it is not used.
constexpr std::chrono::milliseconds kLongestClaim = std::chrono::seconds(5);

// Tells apart two calls that carry the same key.
std::string
FingerprintOf(const core::ServiceName& aService, const targets::ServiceCall& aCall)
{
  std::uint64_t hash = 0;
  for (const std::string* part : { &aService.Text(), &aCall.method, &aCall.path, &aCall.body }) {
    hash = XXH64(part->data(), part->size(), hash);
  }
  return std::to_string(hash);
}

void
Record(const OncePorts& aPorts,
       const targets::ServiceCall& aCall,
       const std::string& aFingerprint,
       const claims::RecordedOutcome& aOutcome)
{
  const absl::Status recorded =
    aPorts.claims.Record(aCall.key, aCall.request, aFingerprint, aOutcome);
  if (!recorded.ok()) {
    core::Log(
      core::LogLevel::kWarning,
      "outcome not recorded yet",
      { { "request", aCall.request.Text() }, { "problem", std::string(recorded.message()) } });
  }
}

OnceResult
CallClaimed(const OncePorts& aPorts,
            const net::Address& aTarget,
            const targets::ServiceCall& aCall,
            const std::string& aFingerprint)
{
  auto reply = aPorts.services.Call(aTarget, aCall);
  if (reply.ok()) {
    Record(aPorts, aCall, aFingerprint, { core::Outcome::kRan, reply->status, reply->body, true });
    return { std::move(reply), core::Outcome::kRan };
  }
  const core::Outcome outcome = targets::OutcomeOfFailure(reply.status());
  // A call whose outcome is not known leaves its claim open, so that the key never runs again.
  if (outcome == core::Outcome::kNotRun) {
    Record(aPorts, aCall, aFingerprint, { core::Outcome::kNotRun, 0, "", true });
  }
  return { reply.status(), outcome };
}

} // namespace

OnceResult
CallAtMostOnce(const OncePorts& aPorts,
               const net::Address& aTarget,
               const core::ServiceName& aService,
               const targets::ServiceCall& aCall)
{
  const core::MonotonicTime asked = aPorts.clock.Now();
  const std::string fingerprint = FingerprintOf(aService, aCall);
  const auto claim = aPorts.claims.Claim(aCall.key, aCall.request, fingerprint);
  if (!claim.ok()) {
    return { claim.status(), claims::OutcomeOfRefusal(claim.status()) };
  }
  if (!claim->granted) {
    const claims::RecordedOutcome& recorded = *claim->recorded;
    return { targets::ServiceReply{ recorded.status, recorded.body }, core::Outcome::kRan };
  }
  if (aPorts.clock.Now() - asked > kLongestClaim) {
    Record(aPorts, aCall, fingerprint, { core::Outcome::kNotRun, 0, "", true });
    return { core::MakeError(claims::errors::kGrantedLate, aCall.key.Text()),
             core::Outcome::kNotRun };
  }
  return CallClaimed(aPorts, aTarget, aCall, fingerprint);
}

} // namespace plantainslip::requests

#include <plantainslip/limits/rate_bucket.hpp>

#include <algorithm>

namespace plantainslip::limits {

namespace {

constexpr double kMaxWaitSeconds = 60.0;

double
SecondsToFill(double aMissing, double aRate)
{
  return aRate > 0.0 ? std::min(aMissing / aRate, kMaxWaitSeconds) : kMaxWaitSeconds;
}

} // namespace

void
RateBucket::Refill(double aShareSeconds, double aMaxShareSeconds, core::MonotonicTime aNow)
{
  const auto fill = [&](double& aLevel, double aRate) {
    aLevel = std::min(aLevel + aRate * aShareSeconds, std::max(1.0, aRate * aMaxShareSeconds));
  };
  fill(this->requests, this->limit.requestsPerSecond);
  fill(this->tokens, this->limit.tokensPerSecond);
  this->refilledAt = aNow;
}

LimitDecision
RateBucket::TryTake(core::TokenCount aTokens, double aShare)
{
  const bool limitsRequests = this->limit.requestsPerSecond > 0.0;
  const bool limitsTokens = this->limit.tokensPerSecond > 0.0;
  const bool lacksRequests = limitsRequests && this->requests < 1.0;
  const bool lacksTokens = limitsTokens && this->tokens <= 0.0;
  if (!lacksRequests && !lacksTokens) {
    this->requests -= limitsRequests ? 1.0 : 0.0;
    this->tokens -= limitsTokens ? static_cast<double>(aTokens.Number()) : 0.0;
    return {};
  }
  double wait = 0.0;
  if (lacksRequests) {
    wait = SecondsToFill(1.0 - this->requests, this->limit.requestsPerSecond * aShare);
  }
  if (lacksTokens) {
    wait = std::max(wait, SecondsToFill(-this->tokens, this->limit.tokensPerSecond * aShare));
  }
  const auto exact = std::chrono::duration<double>(wait);
  return { false, std::chrono::ceil<std::chrono::milliseconds>(exact) };
}

} // namespace plantainslip::limits

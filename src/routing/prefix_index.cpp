#include <plantainslip/routing/prefix_index.hpp>

#include <mutex>

namespace plantainslip::routing {

namespace {

constexpr std::chrono::seconds kExpectationTime(30);
constexpr core::MonotonicTime kConfirmed = core::MonotonicTime::max();

} // namespace

void
PrefixIndex::DoubtConfirmed(EngineCache& aCache, core::MonotonicTime aNow)
{
  const core::MonotonicTime until = aNow + kExpectationTime;
  for (auto& [piece, heldUntil] : aCache.heldUntil) {
    if (heldUntil == kConfirmed) {
      heldUntil = until;
      aCache.expectations.push_back({ until, piece });
    }
  }
}

void
PrefixIndex::DropExpired(EngineCache& aCache, core::MonotonicTime aNow)
{
  while (!aCache.expectations.empty() && aCache.expectations.front().until <= aNow) {
    const auto held = aCache.heldUntil.find(aCache.expectations.front().piece);
    if (held != aCache.heldUntil.end() && held->second <= aNow) {
      aCache.heldUntil.erase(held);
    }
    aCache.expectations.pop_front();
  }
}

bool
PrefixIndex::Adopt(const core::TargetId& aTarget,
                   const std::vector<targets::CacheEvent>& aEvents,
                   core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  EngineCache& cache = this->engines[aTarget];
  bool gap = false;
  DropExpired(cache, aNow);
  for (const targets::CacheEvent& event : aEvents) {
    if (event.sequence <= cache.newestSequence) {
      continue;
    }
    if (event.sequence != cache.newestSequence + 1) {
      gap = true;
      DoubtConfirmed(cache, aNow);
    }
    cache.newestSequence = event.sequence;
    if (event.stored) {
      cache.heldUntil[event.pieceHash] = kConfirmed;
    } else {
      cache.heldUntil.erase(event.pieceHash);
    }
  }
  return gap;
}

void
PrefixIndex::Expect(const core::TargetId& aTarget,
                    const std::vector<std::uint64_t>& aPieces,
                    core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  EngineCache& cache = this->engines[aTarget];
  DropExpired(cache, aNow);
  const core::MonotonicTime until = aNow + kExpectationTime;
  for (const std::uint64_t piece : aPieces) {
    auto& held = cache.heldUntil[piece];
    if (held != kConfirmed) {
      held = until;
      cache.expectations.push_back({ until, piece });
    }
  }
}

void
PrefixIndex::Forget(const core::TargetId& aTarget)
{
  const std::scoped_lock lock(this->mutex);
  this->engines.erase(aTarget);
}

std::uint64_t
PrefixIndex::CountHeld(const core::TargetId& aTarget,
                       const std::vector<std::uint64_t>& aPieces,
                       core::MonotonicTime aNow) const
{
  const std::shared_lock lock(this->mutex);
  const auto engine = this->engines.find(aTarget);
  if (engine == this->engines.end()) {
    return 0;
  }
  std::uint64_t count = 0;
  for (const std::uint64_t piece : aPieces) {
    const auto held = engine->second.heldUntil.find(piece);
    if (held == engine->second.heldUntil.end() || held->second <= aNow) {
      break;
    }
    ++count;
  }
  return count;
}

std::uint64_t
PrefixIndex::NewestSequence(const core::TargetId& aTarget) const
{
  const std::shared_lock lock(this->mutex);
  const auto engine = this->engines.find(aTarget);
  return engine == this->engines.end() ? 0 : engine->second.newestSequence;
}

} // namespace plantainslip::routing

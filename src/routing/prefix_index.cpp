#include <plantainslip/routing/prefix_index.hpp>

#include <mutex>

namespace plantainslip::routing {

namespace {

constexpr std::chrono::seconds kExpectationLifetime(30);
constexpr core::MonotonicTime kConfirmed = core::MonotonicTime::max();

} // namespace

void
PrefixIndex::DemoteConfirmed(EngineCache& aCache, core::MonotonicTime aNow)
{
  const core::MonotonicTime until = aNow + kExpectationLifetime;
  for (auto& [piece, cachedUntil] : aCache.cachedUntil) {
    if (cachedUntil == kConfirmed) {
      cachedUntil = until;
      aCache.expectations.push_back({ until, piece });
    }
  }
}

void
PrefixIndex::RemoveExpired(EngineCache& aCache, core::MonotonicTime aNow)
{
  while (!aCache.expectations.empty() && aCache.expectations.front().until <= aNow) {
    const auto entry = aCache.cachedUntil.find(aCache.expectations.front().piece);
    if (entry != aCache.cachedUntil.end() && entry->second <= aNow) {
      aCache.cachedUntil.erase(entry);
    }
    aCache.expectations.pop_front();
  }
}

bool
PrefixIndex::ApplyEvents(const core::TargetId& aTarget,
                         const std::vector<targets::CacheEvent>& aEvents,
                         core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  EngineCache& cache = this->engines[aTarget];
  bool gap = false;
  RemoveExpired(cache, aNow);
  for (const targets::CacheEvent& event : aEvents) {
    if (event.sequence <= cache.newestSequence) {
      continue;
    }
    if (event.sequence != cache.newestSequence + 1) {
      gap = true;
      DemoteConfirmed(cache, aNow);
    }
    cache.newestSequence = event.sequence;
    if (event.stored) {
      cache.cachedUntil[event.pieceHash] = kConfirmed;
    } else {
      cache.cachedUntil.erase(event.pieceHash);
    }
  }
  return gap;
}

void
PrefixIndex::AddExpected(const core::TargetId& aTarget,
                         const std::vector<std::uint64_t>& aPieces,
                         core::MonotonicTime aNow)
{
  const std::scoped_lock lock(this->mutex);
  EngineCache& cache = this->engines[aTarget];
  RemoveExpired(cache, aNow);
  const core::MonotonicTime until = aNow + kExpectationLifetime;
  for (const std::uint64_t piece : aPieces) {
    auto& entry = cache.cachedUntil[piece];
    if (entry != kConfirmed) {
      entry = until;
      cache.expectations.push_back({ until, piece });
    }
  }
}

void
PrefixIndex::Remove(const core::TargetId& aTarget)
{
  const std::scoped_lock lock(this->mutex);
  this->engines.erase(aTarget);
}

std::uint64_t
PrefixIndex::CountCachedPieces(const core::TargetId& aTarget,
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
    const auto entry = engine->second.cachedUntil.find(piece);
    if (entry == engine->second.cachedUntil.end() || entry->second <= aNow) {
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

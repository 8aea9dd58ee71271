#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <plantainslip/routing/prompt_pieces.hpp>
#include <plantainslip/targets/engine.hpp>

#include "simulation.hpp"

namespace plantainslip::bench {

/// @brief Size of a modelled engine.
struct EngineSize
{
  std::uint64_t slots = 16;
  double prefillTokensPerSecond = 20'000.0;
  Seconds tokenInterval{ 0.02 };
  /// @brief Pieces of about 2,000 tokens that the cache holds.
  std::size_t cachePieces = 60;
};

/// @brief One request at a modelled engine.
struct EngineJob
{
  std::uint64_t promptTokens = 0;
  std::uint64_t outputTokens = 0;
  int priority = 0;
  std::vector<std::uint64_t> pieces;
  /// @brief Moment at which the system cancels it; never, by default.
  core::MonotonicTime cancelAt = core::MonotonicTime::max();
  std::function<void(std::uint64_t aHeldPieces)> onFirstToken;
  /// @brief Is told whether the answer is whole.
  std::function<void(bool aWhole)> onEnd;
};

/// @brief Capacity of an engine: slots, a queue by priority, one prefill at a time, a prefix cache.
class EngineModel
{
public:
  EngineModel(Simulation& aSimulation, EngineSize aSize)
    : simulation(aSimulation)
    , size(aSize)
  {
  }

  /// @brief Hands a request over.
  void Submit(EngineJob aJob)
  {
    this->waiting[-aJob.priority].push_back(std::move(aJob));
    this->StartNext();
  }

  /// @brief Gives the load as a report shows it.
  targets::EngineReport Report() const
  {
    targets::EngineReport report;
    report.model = "m";
    report.version = "1";
    report.running = this->running;
    report.queued = this->Queued();
    return report;
  }

  /// @brief Takes the cache events since the last call.
  std::vector<targets::CacheEvent> TakeEvents() { return std::exchange(this->events, {}); }

  /// @brief Gives running and waiting requests.
  std::uint64_t Load() const { return this->running + this->Queued(); }

private:
  std::uint64_t Queued() const
  {
    std::uint64_t queued = 0;
    for (const auto& [rank, jobs] : this->waiting) {
      queued += jobs.size();
    }
    return queued;
  }

  void StartNext()
  {
    while (this->running < this->size.slots) {
      auto rank = this->waiting.begin();
      while (rank != this->waiting.end() && rank->second.empty()) {
        ++rank;
      }
      if (rank == this->waiting.end()) {
        return;
      }
      EngineJob job = std::move(rank->second.front());
      rank->second.pop_front();
      if (job.cancelAt <= this->simulation.Now()) {
        job.onEnd(false);
        continue;
      }
      this->Start(std::make_shared<EngineJob>(std::move(job)));
    }
  }

  void Start(const std::shared_ptr<EngineJob>& aJob)
  {
    ++this->running;
    std::uint64_t held = 0;
    while (held < aJob->pieces.size() && this->cached.contains(aJob->pieces[held])) {
      ++held;
    }
    const std::uint64_t heldTokens = held * routing::kPieceTokens;
    const auto uncached = static_cast<double>(aJob->promptTokens - heldTokens);
    const core::MonotonicTime begin = std::max(this->simulation.Now(), this->prefillFreeAt);
    const Seconds prefill(uncached / this->size.prefillTokensPerSecond);
    this->prefillFreeAt =
      begin + std::chrono::duration_cast<core::MonotonicTime::duration>(prefill);
    const Seconds untilFirst =
      this->prefillFreeAt - this->simulation.Now() + this->size.tokenInterval;
    this->simulation.After(untilFirst, [this, aJob, held] {
      this->Keep(aJob->pieces);
      aJob->onFirstToken(held);
    });
    const Seconds whole =
      untilFirst + this->size.tokenInterval * static_cast<double>(aJob->outputTokens - 1);
    const Seconds untilCancel = aJob->cancelAt - this->simulation.Now();
    const bool cancelled = untilCancel < whole;
    this->simulation.After(cancelled ? untilCancel : whole, [this, aJob, cancelled] {
      --this->running;
      aJob->onEnd(!cancelled);
      this->StartNext();
    });
  }

  void Keep(const std::vector<std::uint64_t>& aPieces)
  {
    // The first pieces are the most shared, so they are made the newest.
    for (auto piece = aPieces.rbegin(); piece != aPieces.rend(); ++piece) {
      const auto found = this->cached.find(*piece);
      if (found != this->cached.end()) {
        this->newest.erase(found->second);
      } else {
        this->events.push_back({ ++this->sequence, *piece, true });
      }
      this->newest.push_front(*piece);
      this->cached[*piece] = this->newest.begin();
    }
    while (this->cached.size() > this->size.cachePieces) {
      this->events.push_back({ ++this->sequence, this->newest.back(), false });
      this->cached.erase(this->newest.back());
      this->newest.pop_back();
    }
  }

  Simulation& simulation;
  EngineSize size;
  std::uint64_t running = 0;
  std::map<int, std::deque<EngineJob>> waiting;
  core::MonotonicTime prefillFreeAt;
  std::list<std::uint64_t> newest;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached;
  std::vector<targets::CacheEvent> events;
  std::uint64_t sequence = 0;
};

} // namespace plantainslip::bench

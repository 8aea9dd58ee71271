#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include <plantainslip/targets/engine.hpp>

namespace plantainslip::fakes {

/// @brief Prefix cache of a fake engine: limited memory, the oldest use goes out first, and events
///        of which every so many are lost. Used under a lock.
class PrefixCache
{
public:
  /// @param aMostPieces  pieces that are held; zero holds none
  /// @param aLostEvery  every so many events are lost; zero loses none
  PrefixCache(std::size_t aMostPieces, std::uint64_t aLostEvery)
    : mostPieces(aMostPieces)
    , lostEvery(aLostEvery)
  {
  }

  /// @brief Uses a prompt's pieces and keeps them.
  /// @return leading pieces that were held before
  std::size_t Use(const std::vector<std::uint64_t>& aPieces)
  {
    std::size_t held = 0;
    while (held < aPieces.size() && this->places.contains(aPieces[held])) {
      ++held;
    }
    // The first pieces are the most shared, so they are made the newest.
    std::for_each(
      aPieces.rbegin(), aPieces.rend(), [this](std::uint64_t aPiece) { this->Keep(aPiece); });
    while (this->places.size() > this->mostPieces) {
      this->Note(this->newest.back(), false);
      this->places.erase(this->newest.back());
      this->newest.pop_back();
    }
    return held;
  }

  /// @brief Gives the events after a sequence that were not lost.
  std::vector<targets::CacheEvent> EventsAfter(std::uint64_t aSequence) const
  {
    std::vector<targets::CacheEvent> after;
    for (const targets::CacheEvent& event : this->events) {
      if (event.sequence > aSequence) {
        after.push_back(event);
      }
    }
    return after;
  }

private:
  static constexpr std::size_t kMostEvents = 10'000;

  void Keep(std::uint64_t aPiece)
  {
    const auto place = this->places.find(aPiece);
    if (place != this->places.end()) {
      this->newest.erase(place->second);
    } else {
      this->Note(aPiece, true);
    }
    this->newest.push_front(aPiece);
    this->places[aPiece] = this->newest.begin();
  }

  void Note(std::uint64_t aPiece, bool aStored)
  {
    ++this->sequence;
    if (this->lostEvery == 0 || this->sequence % this->lostEvery != 0) {
      this->events.push_back({ this->sequence, aPiece, aStored });
    }
    if (this->events.size() > kMostEvents) {
      this->events.pop_front();
    }
  }

  std::size_t mostPieces;
  std::uint64_t lostEvery;
  std::uint64_t sequence = 0;
  std::list<std::uint64_t> newest;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
  std::deque<targets::CacheEvent> events;
};

} // namespace plantainslip::fakes

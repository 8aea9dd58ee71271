#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace plantainslip::fakes {

/// @brief Batch slots of a fake engine: when all are taken, requests wait by priority, then by age.
/// @note Safe from any thread.
class SlotQueue
{
public:
  /// @param aSlots  requests worked on at once; zero sets no bound
  explicit SlotQueue(std::uint64_t aSlots)
    : slots(aSlots)
  {
  }

  /// @brief Waits for a slot.
  void Enter(int aPriority)
  {
    std::unique_lock lock(this->mutex);
    const auto place = this->waiting.insert({ -aPriority, this->nextTicket++ }).first;
    this->changed.wait(lock, [&] {
      const bool isFree = this->slots == 0 || this->taken < this->slots;
      return isFree && place == this->waiting.begin();
    });
    this->waiting.erase(place);
    ++this->taken;
    this->changed.notify_all();
  }

  /// @brief Gives a slot back.
  void Leave()
  {
    const std::scoped_lock lock(this->mutex);
    --this->taken;
    this->changed.notify_all();
  }

  /// @brief Gives how many requests are worked on.
  std::uint64_t Taken() const
  {
    const std::scoped_lock lock(this->mutex);
    return this->taken;
  }

  /// @brief Gives how many requests wait.
  std::uint64_t Waiting() const
  {
    const std::scoped_lock lock(this->mutex);
    return this->waiting.size();
  }

private:
  std::uint64_t slots;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::set<std::pair<int, std::uint64_t>> waiting;
  std::uint64_t nextTicket = 0;
  std::uint64_t taken = 0;
};

} // namespace plantainslip::fakes

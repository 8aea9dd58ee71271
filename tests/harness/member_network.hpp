#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>
#include <plantainslip/membership/membership.hpp>

namespace plantainslip::harness {

/// @brief Membership state machines of several instances that exchange datagrams in one process,
///        on a fake clock, with seeded loss.
class MemberNetwork
{
public:
  /// @brief Time of one step; a datagram takes one step.
  static constexpr std::chrono::milliseconds kStep{ 5 };

  /// @brief Makes an empty network.
  explicit MemberNetwork(std::uint64_t aSeed);

  /// @brief Starts an instance that knows nobody.
  /// @return its number
  std::size_t Add(const std::string& aName, const std::string& aZone);

  /// @brief Gives all running instances a reading of the platform's list with all that were added.
  void ReadList(const std::vector<std::string>& aLeavingTargets = {});
  /// @brief Gives one instance a reading of the platform's list.
  void ReadListAt(std::size_t aIndex, const std::vector<std::string>& aLeavingTargets = {});

  /// @brief Ends an instance without a word, or lets a paused one go on.
  void SetRunning(std::size_t aIndex, bool aRunning);
  /// @brief Sets the share of datagrams that are lost.
  void SetLoss(double aShare) { this->loss = aShare; }
  /// @brief Sets which datagrams are cut off.
  void SetCut(std::function<bool(std::size_t, std::size_t)> aCut) { this->cut = std::move(aCut); }
  /// @brief Counts the bytes of every datagram, which costs time.
  void CountBytes() { this->counting = true; }

  /// @brief Lets time pass.
  void Run(std::chrono::milliseconds aTime);
  /// @brief Lets time pass until a condition holds.
  /// @return the time that it took; aMost if it never held
  std::chrono::milliseconds RunUntil(const std::function<bool()>& aCondition,
                                     std::chrono::milliseconds aMost);

  membership::Membership& At(std::size_t aIndex) { return *this->nodes[aIndex].membership; }
  std::size_t Size() const { return this->nodes.size(); }
  bool IsRunning(std::size_t aIndex) const { return this->nodes[aIndex].running; }

  /// @brief Tells whether all running instances of a zone hold an instance for dead.
  bool AllHoldDead(const std::string& aZone, std::size_t aIndex);
  /// @brief Counts pairs of running instances of one zone of which one holds the other for dead.
  std::size_t WronglyDead();
  /// @brief Gives the bytes sent so far, with headers of IP and UDP.
  std::uint64_t Bytes() const { return this->bytes; }
  std::uint64_t Datagrams() const { return this->datagrams; }

private:
  struct Node
  {
    std::unique_ptr<membership::Membership> membership;
    net::Address address;
    std::string zone;
    bool running = true;
  };
  struct InFlight
  {
    std::size_t from = 0;
    std::size_t to = 0;
    membership::Message message;
  };

  void Step();
  void Send(std::size_t aFrom, std::vector<membership::Datagram> aDatagrams);

  core::ManualClock clock;
  core::RandomSource random;
  std::vector<Node> nodes;
  std::deque<InFlight> inFlight;
  std::function<bool(std::size_t, std::size_t)> cut;
  double loss = 0.0;
  bool counting = false;
  std::uint64_t steps = 0;
  std::uint64_t bytes = 0;
  std::uint64_t datagrams = 0;
};

} // namespace plantainslip::harness

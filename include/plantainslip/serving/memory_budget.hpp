#pragma once

#include <cstdint>
#include <functional>

#include <boost/intrusive/list.hpp>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::serving {

/// @brief Limits the bytes that are held for callers and targets together.
///
/// Guards against many connections that each keep to the limits of a single request and together
/// exhaust the process's memory. When the limit is reached, the evictable account that holds the
/// most bytes for the longest time without progress gives them up. The last part of the budget is
/// reserved for accounts that hold little, so that ordinary requests are served meanwhile.
///
/// Reserving and releasing take constant time; only at the limit all accounts are compared. Used on
/// one thread only. Must outlive its accounts.
class MemoryBudget
{
public:
  class Account;

  /// @brief Accounts with at most this many bytes may use the reserved part.
  static constexpr std::uint64_t kOrdinaryBytes = 65'536;

  /// @param aCapacity  bytes of all accounts together; zero for no limit
  MemoryBudget(std::uint64_t aCapacity, const core::Clock& aClock)
    : capacity(aCapacity)
    , clock(aClock)
  {
  }

  std::uint64_t Capacity() const { return this->capacity; }
  /// @brief Returns the reserved bytes of all accounts.
  std::uint64_t Used() const { return this->used; }
  bool IsLimited() const { return this->capacity > 0; }

private:
  using Hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

public:
  /// @brief Bytes held for one connection or one response; released at the end of its lifetime.
  class Account : public Hook
  {
  public:
    /// @param aOnEvicted  called when the account has to give up its bytes, which are released
    ///                    then; must free the memory behind them
    explicit Account(
      MemoryBudget& aBudget,
      std::function<void()> aOnEvicted = [] {});
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// @brief Reserves or releases bytes, so that the account holds a number of them.
    /// @return false if they are not available: the account holds as many as before, and what they
    ///         are wanted for has to be refused. Always true for at most as many as before.
    [[nodiscard]] bool Resize(std::uint64_t aBytes);

    /// @brief Counts bytes that exist already, such as a whole answer that was read before; the
    ///        budget may be exceeded by them.
    void Hold(std::uint64_t aBytes);

    /// @brief Records that bytes were received or sent.
    void RecordProgress(std::uint64_t aBytes);

    /// @brief Sets whether the account may be told to give up its bytes; begins as not.
    void SetEvictable(bool aEvictable);

    /// @brief Returns whether the account was told to give up its bytes.
    bool IsEvicted() const { return this->evicted; }
    std::uint64_t Held() const { return this->held; }

  private:
    friend class MemoryBudget;
    double Cost(std::uint64_t aBytes, core::MonotonicTime aNow) const;
    void Evict();

    MemoryBudget& budget;
    std::function<void()> onEvicted;
    std::uint64_t held = 0;
    /// @brief Bytes of progress since progressAt.
    std::uint64_t progressed = 0;
    core::MonotonicTime progressAt;
    bool evictable = false;
    bool evicted = false;
  };

private:
  bool Fits(std::uint64_t aAdded, std::uint64_t aTotal) const;
  Account* FindVictim(core::MonotonicTime aNow);

  std::uint64_t capacity;
  const core::Clock& clock;
  std::uint64_t used = 0;
  boost::intrusive::list<Account, boost::intrusive::constant_time_size<false>> accounts;
};

} // namespace plantainslip::serving

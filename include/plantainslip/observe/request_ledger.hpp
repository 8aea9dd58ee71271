#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

namespace plantainslip::observe {

/// @brief The ends that an accepted request can come to; each comes to exactly one.
enum class RequestEnd
{
  kAnswered,
  kRefused,
  kFailed,
  kCallerGone,
};

/// @brief Number of ends.
inline constexpr std::size_t kRequestEnds = 4;

/// @brief Gives an end's name in metrics, such as `caller_gone`. Constant time.
std::string
EndName(RequestEnd aEnd);

/// @brief Counts every accepted request from its beginning to its one end. The open requests are
///        counted by themselves, so that a request without an end shows as a difference.
/// @note Safe from any thread; constant time; no errors.
class RequestLedger
{
public:
  /// @brief Counts a request in.
  void Open();

  /// @brief Counts a request out.
  /// @param aEnd  the end that it came to
  void Close(RequestEnd aEnd);

  /// @brief Counts a request out that was dropped without an end, which is a fault of the system.
  void Lose();

  /// @brief Gives how many requests are open.
  std::int64_t OpenNow() const;

  /// @brief Writes the counts of one moment in the text format of Prometheus.
  std::string Format() const;

private:
  mutable std::mutex mutex;
  std::int64_t opened = 0;
  std::int64_t open = 0;
  std::int64_t lost = 0;
  std::array<std::int64_t, kRequestEnds> ends{};
};

/// @brief One accepted request; makes sure that it is counted to exactly one end.
class LedgerEntry
{
public:
  /// @brief Counts the request in.
  /// @param aLedger  has to outlive this object
  explicit LedgerEntry(RequestLedger& aLedger)
    : ledger(aLedger)
  {
    this->ledger.Open();
  }

  LedgerEntry(const LedgerEntry&) = delete;
  LedgerEntry& operator=(const LedgerEntry&) = delete;

  ~LedgerEntry()
  {
    if (!this->closed) {
      this->ledger.Lose();
    }
  }

  /// @brief Counts the request to an end. Later calls change nothing.
  void Close(RequestEnd aEnd)
  {
    if (!this->closed) {
      this->closed = true;
      this->ledger.Close(aEnd);
    }
  }

private:
  RequestLedger& ledger;
  bool closed = false;
};

} // namespace plantainslip::observe

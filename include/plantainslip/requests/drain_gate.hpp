#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace plantainslip::requests {

/// @brief Lets requests in until the instance is to stop, and waits for the last one to end.
/// @note Safe from any thread; constant time apart from WaitUntilEmpty(); no errors.
class DrainGate
{
public:
  /// @brief Lets a request in.
  /// @return false if the gate is closed
  bool Enter();
  /// @brief Counts a request out that Enter() let in.
  void Leave();
  /// @brief Lets no more requests in.
  void Close();
  /// @brief Tells whether requests are let in.
  bool IsOpen() const;
  /// @brief Waits until every request that was let in has ended.
  void WaitUntilEmpty();

private:
  mutable std::mutex mutex;
  std::condition_variable emptied;
  std::uint64_t inside = 0;
  bool open = true;
};

} // namespace plantainslip::requests

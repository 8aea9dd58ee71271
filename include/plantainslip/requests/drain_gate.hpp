#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace plantainslip::requests {

/// @brief Admits requests until the instance stops, and waits for the in-flight ones to end.
/// @note Safe from any thread; constant time apart from WaitUntilEmpty(); no errors.
class DrainGate
{
public:
  /// @brief Admits a request and counts it as in flight.
  /// @return false if the gate is closed
  bool Enter();
  /// @brief Ends a request that Enter() admitted.
  void Leave();
  /// @brief Stops admitting requests.
  void Close();
  /// @brief Returns whether requests are admitted.
  bool IsOpen() const;
  /// @brief Blocks until every admitted request has ended.
  void WaitUntilEmpty();

private:
  mutable std::mutex mutex;
  std::condition_variable becameEmpty;
  std::uint64_t inFlight = 0;
  bool open = true;
};

} // namespace plantainslip::requests

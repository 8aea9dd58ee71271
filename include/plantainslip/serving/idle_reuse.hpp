#pragma once

#include <map>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief Learns, per service, how long a connection may have been idle to carry a request that
///        must not be sent twice.
///
/// Handles targets that drop idle connections without notice: whatever is sent next on such a
/// connection is lost. Requests that may be repeated use connections of any age that the target
/// states to keep, and show which age is safe. Not thread-safe.
class IdleReuse
{
public:
  /// @brief Idle time that is used before anything is learnt, and the least one afterwards.
  static constexpr milliseconds kInitialLimit{ 1'000 };
  /// @brief Reused connections that must have survived a longer idle time before it is allowed.
  static constexpr int kProofs = 10;

  /// @brief Returns the allowed idle time. Logarithmic in the number of services.
  milliseconds Limit(const core::ServiceName& aService) const;

  /// @brief Records that a reused connection carried a response, or was lost before any byte of
  ///        one. Logarithmic in the number of services.
  /// @param aIdle  how long the connection had been idle
  void Record(const core::ServiceName& aService, milliseconds aIdle, bool aLost);

private:
  struct State
  {
    milliseconds limit = kInitialLimit;
    /// @brief Connections that survived the next longer idle time since the last change.
    int proofs = 0;
  };

  std::map<core::ServiceName, State> states;
};

} // namespace plantainslip::serving

#pragma once

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief What placement knows about this instance's connections to targets.
class ConnectionView
{
public:
  virtual ~ConnectionView() = default;

  /// @brief Returns whether an idle connection to an address can be reused. Logarithmic in the
  ///        number of addresses.
  /// @param aMaxIdle  connections that were idle for longer do not count
  virtual bool HasIdle(const net::Address& aAddress, milliseconds aMaxIdle) const = 0;

  /// @brief Returns the learnt time that a request waits for a new connection, in milliseconds.
  virtual double ConnectMs() const = 0;
};

} // namespace plantainslip::serving

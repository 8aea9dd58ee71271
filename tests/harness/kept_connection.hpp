#pragma once

#include <string>

#include "asio.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include "wire_fleet.hpp"

namespace plantainslip::harness {

/// @brief Connection of a caller that sends one request after another on it, until it is closed.
class KeptConnection
{
public:
  /// @param aCallers  address of an instance
  explicit KeptConnection(net::Address aCallers);

  /// @brief Sends a request and reads the response; connects first if there is no connection.
  /// @return the response; status 0 if there was none
  CallerAnswer Call(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aId,
                    bool aIsCompletion);

private:
  net::Address callers;
  serving::asio::io_context context{ 1 };
  serving::Tcp::socket socket{ this->context };
  boost::beast::flat_buffer buffer;
};

} // namespace plantainslip::harness

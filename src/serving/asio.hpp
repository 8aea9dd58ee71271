#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without this header.
#include <utility>

#include <boost/asio.hpp>

namespace plantainslip::serving {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

/// @brief Coroutine that returns a value.
template<typename Value>
using Task = asio::awaitable<Value>;

/// @brief Completion token that stores errors in a variable instead of throwing.
inline auto
RedirectError(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

} // namespace plantainslip::serving

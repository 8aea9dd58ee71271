#pragma once

#include <string>

#include <plantainslip/net/address.hpp>

namespace plantainslip::harness {

/// @brief TCP connection that sends any bytes, for tests of what callers must not send.
class RawConnection
{
public:
  /// @brief Connects; throws if there is no listener.
  explicit RawConnection(const net::Address& aAddress);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// @brief Sends bytes.
  /// @return false if the peer has closed the connection
  bool Send(const std::string& aBytes) const;

  /// @brief Tells the peer that no more bytes come.
  void FinishSending() const;

  /// @brief Reads until the peer closes the connection or half a minute has passed.
  std::string ReadToEnd() const;

  /// @brief Returns whether the last ReadToEnd() ended with a reset of the connection.
  bool WasReset() const { return this->reset; }

  /// @brief Reads until the first line of the answer is there.
  std::string ReadFirstLine() const;

private:
  int socket = -1;
  mutable bool reset = false;
};

} // namespace plantainslip::harness

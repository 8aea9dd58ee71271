#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <plantainslip/net/address.hpp>

namespace plantainslip::fakes {

/// @brief Target that answers each request with bytes that never end: a fixed beginning, then the
///        same bytes again and again until its caller closes the connection.
class EndlessTarget
{
public:
  /// @param aBeginning  sent once; `{id}` stands for the request id
  /// @param aRepeated  sent until the connection is closed
  /// @param aPause  time between two repetitions
  EndlessTarget(std::string aBeginning,
                std::string aRepeated,
                std::chrono::milliseconds aPause = std::chrono::milliseconds(0));
  ~EndlessTarget();
  EndlessTarget(const EndlessTarget&) = delete;
  EndlessTarget& operator=(const EndlessTarget&) = delete;

  net::Address Address() const { return this->address; }

  /// @brief Returns how many connections received a request, and how many of these the caller
  /// closed.
  int CountRequests() const { return this->requests; }
  int CountClosed() const { return this->closed; }

private:
  void Accept();
  void Serve(int aConnection);

  std::string beginning;
  std::string repeated;
  std::chrono::milliseconds pause;
  int listener = -1;
  net::Address address;
  std::atomic<bool> stopping = false;
  std::atomic<int> requests = 0;
  std::atomic<int> closed = 0;
  std::jthread thread;
};

} // namespace plantainslip::fakes

#pragma once

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http_listener.hpp"

namespace plantainslip::fakes {

/// @brief A call that only the lease holder may make, as the platform received it.
struct ReceivedCall
{
  std::string path;
  std::string body;
  std::string holder;
  std::uint64_t token = 0;
  std::chrono::steady_clock::time_point at;
};

/// @brief In-process stand-in for the platform's address for calls by one instance at a time. It
///        checks no tokens.
///
/// Public functions may be called on any thread, except Close(); calls are served on the thread of
/// the context.
class PlatformCallsFake
{
public:
  explicit PlatformCallsFake(serving::asio::io_context& aContext);

  /// @note Must be called on the thread of the context.
  void Close() { this->listener->Close(); }

  net::Address Address() const { return this->listener->LocalAddress(); }

  std::vector<ReceivedCall> Calls() const;

  /// @brief Lets calls of one holder get status 500 and remain without effect, as with a connection
  ///        that ends before the answer.
  void FailCallsOf(const std::string& aHolder);

private:
  serving::Task<void> Serve(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter);

  mutable std::mutex mutex;
  std::vector<ReceivedCall> calls;
  std::set<std::string> failing;
  core::SystemClock clock;
  std::unique_ptr<serving::HttpListener> listener;
};

} // namespace plantainslip::fakes

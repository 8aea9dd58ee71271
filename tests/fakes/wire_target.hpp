#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "http_listener.hpp"

namespace plantainslip::fakes {

/// @brief A request as the target received it.
struct ReceivedRequest
{
  std::string id;
  std::string path;
  std::string body;
  serving::HeaderList headers;
  std::chrono::steady_clock::time_point at;
  /// @brief Whether the target runs the request; not for a prefill or a refusal.
  bool ran = false;
  /// @brief Whether the response states that the target is leaving.
  bool statedLeaving = false;
  /// @brief Value of the field `Retry-After` of a refusal; empty for none.
  std::string retryAfter;
};

/// @brief How the target handles one request.
enum class TargetBehavior
{
  /// @brief Responds with a handle to a prefill, a stream to a completion, a body to other
  /// requests.
  kAnswer,
  /// @brief Responds with 503 and states that it has not run the request.
  kShed,
  /// @brief As kShed; a second copy of the response follows a little later.
  kShedTwice,
  /// @brief Responds with 421: the request was meant for another target.
  kMisdirected,
  /// @brief Runs the request and closes the connection without a response.
  kDrop,
  /// @brief Closes the connection in the middle of the second event of a stream.
  kBreak,
  /// @brief Runs the request and responds with 500 and the target's signature.
  kFail,
  /// @brief Waits until Release() before it responds.
  kHold,
};

/// @brief In-process fake of a target: a model engine or a plain service.
class WireTarget
{
public:
  /// @param aId  target id, which is part of its responses
  WireTarget(serving::asio::io_context& aContext, std::string aId);

  /// @brief Releases held requests and closes all connections.
  /// @note Must be called on the thread of the context.
  void Close();

  net::Address Address() const { return this->listener->LocalAddress(); }
  const std::string& Id() const { return this->id; }

  /// @brief Sets how the next requests are handled, one entry each; later ones get kAnswer.
  void SetBehaviors(std::vector<TargetBehavior> aBehaviors);

  /// @brief Sets a prompt part that ends the target when it begins to answer a request with it:
  ///        all connections end, and new ones are refused.
  void SetFatalPart(std::string aPart);

  /// @brief Sets a path whose requests end the target when it begins to run them, as with
  ///        SetFatalPart().
  void SetFatalPath(std::string aPath);

  /// @brief Sets whether the target states in all its responses that it is leaving.
  void SetLeaving(bool aLeaving);

  /// @brief Returns whether the target states that it is leaving.
  bool IsLeaving() const;

  /// @brief Sets the rate limit, in requests per second, that all responses state; empty for none.
  void SetRateLimit(std::string aRequestsPerSecond);

  /// @brief Sets the value of the field `Retry-After` in refusals; empty for none.
  void SetRetryAfter(std::string aSeconds);

  /// @brief Sets the status of the target's responses to report requests.
  void SetReportStatus(int aStatus);

  /// @brief Returns how many report requests the target has received.
  std::size_t CountReports() const;

  /// @brief Returns whether a request has ended the target.
  bool HasEnded() const;

  /// @brief Lets held requests continue.
  void Release();

  /// @brief Returns all requests received so far, except orders and report requests.
  std::vector<ReceivedRequest> Received() const;

  /// @brief Returns the bodies of all orders received so far.
  std::vector<std::string> Orders() const;

  /// @brief Returns the number of requests whose sender disconnected before the response.
  std::size_t CountAbandoned() const;

private:
  serving::Task<void> Serve(const serving::CallerRequest& aRequest,
                            serving::AnswerWriter& aWriter,
                            serving::Cancellation& aCancellation);
  serving::Task<void> Respond(const serving::CallerRequest& aRequest,
                              serving::AnswerWriter& aWriter,
                              bool aBreakOff);
  serving::Task<bool> ServeControl(const serving::CallerRequest& aRequest,
                                   serving::AnswerWriter& aWriter);
  TargetBehavior RecordRequest(const serving::CallerRequest& aRequest);
  bool IsFatal(const serving::CallerRequest& aRequest) const;
  serving::HeaderList ResponseHeaders(const serving::CallerRequest& aRequest) const;
  serving::Task<void> End(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter);

  std::string id;
  mutable std::mutex mutex;
  std::deque<TargetBehavior> behaviors;
  std::vector<ReceivedRequest> received;
  std::vector<std::string> orders;
  std::size_t abandoned = 0;
  std::size_t reports = 0;
  int reportStatus = 200;
  bool released = false;
  std::string fatalPart;
  std::string fatalPath;
  std::string retryAfter;
  std::string rateLimit;
  bool leaving = false;
  bool ended = false;
  core::SystemClock clock;
  std::unique_ptr<serving::HttpListener> listener;
};

} // namespace plantainslip::fakes

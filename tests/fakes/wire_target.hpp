#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "front_door.hpp"

namespace plantainslip::fakes {

/// @brief One request as a target of the users got it.
struct ReceivedRequest
{
  std::string id;
  std::string path;
  std::string body;
  serving::HeaderList headers;
};

/// @brief How a target treats one request.
enum class TargetAct
{
  /// @brief Answers well: a handle to a prefill, a stream to a completion, a body to the rest.
  kAnswer,
  /// @brief States that it has not run the request.
  kShed,
  /// @brief States that it is not the target that the request is for.
  kDisown,
  /// @brief Runs it and closes the connection without an answer.
  kDrop,
  /// @brief Breaks off in the middle of the second event of a stream.
  kBreak,
  /// @brief Runs it and answers with 500 and its signature.
  kFail,
  /// @brief Waits until Release() and answers then.
  kHold,
};

/// @brief A model engine or plain service of the users, in the test's own process.
class WireTarget
{
public:
  /// @param aId  id that the target answers to
  WireTarget(serving::asio::io_context& aContext, std::string aId);

  /// @brief Ends all connections and all waiting calls; on the thread of the context.
  void Close();

  net::Address Address() const { return this->door->LocalAddress(); }
  const std::string& Id() const { return this->id; }

  /// @brief Sets the treatment of the next requests, one each; all others are answered well.
  void Plan(std::vector<TargetAct> aActs);

  /// @brief Lets held requests go on.
  void Release();

  /// @brief Gives all requests received so far, orders and reports apart.
  std::vector<ReceivedRequest> Received() const;

  /// @brief Gives the bodies of all orders received so far.
  std::vector<std::string> Orders() const;

  /// @brief Counts requests whose sender went away before their answer.
  std::size_t Abandoned() const;

private:
  serving::Task<void> Serve(const serving::CallerRequest& aRequest,
                            serving::AnswerWriter& aWriter,
                            serving::Cancellation& aCancellation);
  serving::Task<void> Answer(const serving::CallerRequest& aRequest,
                             serving::AnswerWriter& aWriter,
                             bool aBreak);
  serving::Task<bool> ServeControl(const serving::CallerRequest& aRequest,
                                   serving::AnswerWriter& aWriter);
  TargetAct Take(const serving::CallerRequest& aRequest);

  std::string id;
  mutable std::mutex mutex;
  std::deque<TargetAct> acts;
  std::vector<ReceivedRequest> received;
  std::vector<std::string> orders;
  std::size_t abandoned = 0;
  bool released = false;
  core::SystemClock clock;
  std::unique_ptr<serving::FrontDoor> door;
};

} // namespace plantainslip::fakes

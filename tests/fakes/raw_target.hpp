#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <plantainslip/net/address.hpp>

namespace plantainslip::fakes {

/// @brief What a RawTarget does after it has sent its bytes.
enum class RawEnding
{
  /// @brief Closes the connection as after a complete response (FIN).
  kClose,
  /// @brief Resets the connection (RST).
  kReset,
  /// @brief Ends like a process: refuses new connections and closes this one with FIN.
  kEndProcess,
  /// @brief Ends like a process with FIN; another process, with another id, has its address by
  /// then.
  kReplaceProcess,
  /// @brief Ends like a process with FIN; a later start of the same target has its address by then.
  kRestartProcess,
  /// @brief Closes the connection with FIN, takes further ones and answers none.
  kStopAnswering,
  /// @brief Responds before it has read the body of the request, and resets the connection.
  kResetUnread,
  /// @brief Closes the connection with FIN when the time that the request allows is over.
  kStopAtDeadline,
};

/// @brief Target that answers each request with given bytes, whether or not they are a response.
class RawTarget
{
public:
  /// @brief Start time that it reports, in Unix milliseconds.
  static constexpr std::uint64_t kStartedAt = 1'000;

  /// @brief Creates a target whose responses end with their connection.
  /// @param aBytes  sent once; `{id}` stands for the request id
  RawTarget(std::string aBytes, RawEnding aEnding);

  /// @brief Creates a target whose responses never end: a fixed beginning, then the same bytes
  ///        again and again until its caller closes the connection.
  /// @param aBeginning  sent once; `{id}` stands for the request id
  /// @param aRepeated  sent until the connection is closed
  /// @param aPause  time between two repetitions
  RawTarget(std::string aBeginning,
            std::string aRepeated,
            std::chrono::milliseconds aPause = std::chrono::milliseconds(0));
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  net::Address Address() const { return this->address; }

  /// @brief Sets the response to a request for a report; before any request.
  void SetReport(std::string aResponse) { this->report = std::move(aResponse); }

  /// @brief Sets how much earlier than allowed a target with kStopAtDeadline stops.
  void SetMargin(std::chrono::milliseconds aMargin) { this->margin = aMargin; }

  /// @brief Returns how many connections received a request other than for a report, and how many
  /// of these the caller closed.
  int CountRequests() const { return this->requests; }
  int CountClosed() const { return this->closed; }

private:
  RawTarget(std::string aBeginning,
            std::string aRepeated,
            std::chrono::milliseconds aPause,
            std::optional<RawEnding> aEnding);
  void Accept();
  void Serve(int aConnection);
  std::string ReadRequest(int aConnection) const;
  /// @brief Returns what is sent in response to a request.
  std::string Response(const std::string& aRequest) const;
  /// @brief Sends bytes.
  /// @return false if the caller has closed the connection
  bool Send(int aConnection, std::string aBytes) const;
  void End(int aConnection, std::chrono::steady_clock::time_point aDeadline);

  std::string beginning;
  std::string repeated;
  /// @brief Response to a request for a report; empty for one that states kStartedAt.
  std::string report;
  std::chrono::milliseconds pause;
  std::chrono::milliseconds margin{ 0 };
  /// @brief Absent for responses that never end.
  std::optional<RawEnding> ending;
  int listener = -1;
  net::Address address;
  std::atomic<bool> stopping = false;
  std::atomic<int> requests = 0;
  /// @brief Whether a response has ended.
  std::atomic<bool> ended = false;
  std::atomic<int> closed = 0;
  std::jthread thread;
};

} // namespace plantainslip::fakes

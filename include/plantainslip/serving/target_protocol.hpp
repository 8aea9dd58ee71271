#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/serving/fleet.hpp>

namespace plantainslip::serving {

/// @brief One header field.
struct Header
{
  std::string name;
  std::string value;
};

/// @brief Header fields in the order of the wire; a name may come more than once.
using HeaderList = std::vector<Header>;

/// @brief Finds the first field of a name, whose case does not matter.
/// @return its value, or nullptr; linear in the number of fields
const std::string*
FindHeader(const HeaderList& aHeaders, std::string_view aName);

/// @brief Compares two texts without regard to the case of ASCII letters.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// @brief One part of a prompt. Requests that begin with the same parts share their cache.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/// @brief What a caller says of its prompt.
struct PromptFacts
{
  std::string model;
  std::uint64_t promptTokens = 0;
  std::uint64_t mostOutputTokens = 0;
  std::vector<PromptPart> parts;
};

/// @brief What the path needs to know of a caller's request.
struct RequestFacts
{
  core::RequestId id;
  std::optional<milliseconds> timeLeft;
  std::optional<PromptFacts> prompt;
};

/// @brief What an attempt asks of a target.
enum class AttemptStep
{
  /// @brief All of the work.
  kWhole,
  /// @brief Read the prompt and keep its cache behind a handle.
  kPrefill,
  /// @brief Take over the cache of a handle and make the output.
  kDecode,
};

/// @brief One sending of a request to a target.
struct AttemptPlan
{
  AttemptStep step = AttemptStep::kWhole;
  core::TargetId target;
  milliseconds timeLeft{ 0 };
  /// @brief Priority among the target's requests, 0 first; absent for plain services.
  std::optional<std::size_t> priority;
  /// @brief Engine and handle to take the cache from; for kDecode.
  net::Address handleAt;
  std::string handle;
  /// @brief Engine to fetch cached parts from before reading the rest, if any.
  std::optional<net::Address> fetchFrom;
  /// @brief Last event that the caller has; empty at the first attempt.
  std::string lastEventId;
};

/// @brief What the head of a target's answer says.
struct AnswerFacts
{
  core::RequestId id;
  /// @brief The target states that it has not run the request.
  bool notRun = false;
  /// @brief The answer carries the target's signature.
  bool sealed = false;
};

/// @brief What a target gives for a prefill.
struct PrefillResult
{
  std::string handle;
  std::uint64_t tokens = 0;
};

/// @brief How requests are spoken to targets: names and formats, no decisions.
/// @note Implementations keep no state and are safe from any thread.
class TargetProtocol
{
public:
  virtual ~TargetProtocol() = default;

  /// @brief Reads what the path needs of a caller's request. Bad values count as absent.
  virtual RequestFacts ReadRequest(const HeaderList& aHeaders) const = 0;

  /// @brief Tells whether a caller's header field is the system's to set, and so is not forwarded.
  virtual bool IsReserved(std::string_view aName) const = 0;

  /// @brief Makes the header fields that the system sets on an attempt.
  virtual HeaderList AttemptHeaders(const AttemptPlan& aPlan) const = 0;

  /// @brief Reads the head of a target's answer.
  virtual AnswerFacts ReadAnswer(int aStatus, const HeaderList& aHeaders) const = 0;

  /// @brief Reads the body of an answer to a prefill.
  /// @return the handle, or error 1603 (wire.bad_body)
  virtual absl::StatusOr<PrefillResult> ReadPrefill(const std::string& aBody) const = 0;

  /// @brief Gives the name of the header field that carries the request id, which answers echo.
  virtual std::string_view RequestIdHeader() const = 0;

  /// @brief Gives the path whose deletion frees a handle.
  virtual std::string HandlePath(const std::string& aHandle) const = 0;

  /// @brief Makes the field that tells a caller when to come back.
  virtual Header RetryAfter(milliseconds aWait) const = 0;
};

} // namespace plantainslip::serving

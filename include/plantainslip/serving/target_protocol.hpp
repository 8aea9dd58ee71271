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

/// @brief Header fields in wire order; a name may occur more than once.
using HeaderList = std::vector<Header>;

/// @brief Finds the first field with a name, ignoring case.
/// @return its value, or nullptr; linear in the number of fields
const std::string*
FindHeader(const HeaderList& aHeaders, std::string_view aName);

/// @brief Compares two strings, ignoring the case of ASCII letters.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// @brief One part of a prompt. Requests that begin with the same parts share their cached prefix.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/// @brief Description of a prompt in the caller's header fields.
struct PromptInfo
{
  std::string model;
  std::uint64_t promptTokens = 0;
  std::uint64_t maxOutputTokens = 0;
  std::vector<PromptPart> parts;
};

/// @brief Formats the ids of prompt parts for the log.
std::string
FormatPartIds(const std::vector<std::uint64_t>& aParts);

/// @brief Formats the ids of a prompt's parts for the log, in order; empty without a prompt.
std::string
FormatParts(const std::optional<PromptInfo>& aPrompt);

/// @brief Fields of a caller's request that the request path uses.
struct RequestInfo
{
  core::RequestId id;
  /// @brief Time until the caller's deadline, if it states one.
  std::optional<milliseconds> timeLeft;
  std::optional<PromptInfo> prompt;
};

/// @brief Part of a request that an attempt asks a target to run.
enum class AttemptStep
{
  /// @brief The whole request.
  kWhole,
  /// @brief Read the prompt and keep its cache under a handle.
  kPrefill,
  /// @brief Fetch the cache of a handle and generate the output.
  kDecode,
};

/// @brief Parameters of one attempt to run a request at a target.
struct AttemptPlan
{
  AttemptStep step = AttemptStep::kWhole;
  core::TargetId target;
  milliseconds timeLeft{ 0 };
  /// @brief Priority among the target's requests, 0 first; absent for plain services.
  std::optional<std::size_t> priority;
  /// @brief Engine and handle to fetch the cache from; for kDecode.
  net::Address handleAddress;
  std::string handle;
  /// @brief Engine to fetch cached prompt parts from before reading the rest, if any.
  std::optional<net::Address> fetchFrom;
  /// @brief Id of the last event that the caller has received; empty at the first attempt.
  std::string lastEventId;
  /// @brief Workspace that the request belongs to; empty for none.
  core::WorkspaceId workspace;
};

/// @brief Fields of a response's head that the request path uses.
struct ResponseInfo
{
  core::RequestId id;
  /// @brief The target states that it has not run the request.
  bool notRun = false;
  /// @brief The response carries the target's signature.
  bool hasSignature = false;
  /// @brief The target states that it is leaving and must get no new work.
  bool leaving = false;
  /// @brief Requests per second that the target takes from all instances together, if it states a
  ///        limit.
  std::optional<double> requestsPerSecond;
  /// @brief How long a target that refuses the request wants no more from this instance.
  std::optional<milliseconds> retryAfter;
};

/// @brief Result of a prefill.
struct PrefillResult
{
  std::string handle;
  std::uint64_t tokens = 0;
};

/// @brief Wire format of requests to targets: names and formats, no decisions.
/// @note Implementations are stateless and thread-safe.
class TargetProtocol
{
public:
  virtual ~TargetProtocol() = default;

  /// @brief Parses the header fields of a caller's request. Invalid values count as absent.
  virtual RequestInfo ReadRequest(const HeaderList& aHeaders) const = 0;

  /// @brief Returns whether only the system may set a header field; a caller's is not forwarded.
  virtual bool IsReserved(std::string_view aName) const = 0;

  /// @brief Returns whether a header field states the caller's key or workspace. Where requests are
  ///        checked for a key, a caller's is not forwarded.
  virtual bool IsCallerIdentity(std::string_view aName) const = 0;

  /// @brief Returns the header fields that the system sets on an attempt.
  virtual HeaderList AttemptHeaders(const AttemptPlan& aPlan) const = 0;

  /// @brief Parses the head of a target's response.
  virtual ResponseInfo ReadResponse(int aStatus, const HeaderList& aHeaders) const = 0;

  /// @brief Parses the body of a prefill response.
  /// @return the handle, or error 1603 (wire.bad_body)
  virtual absl::StatusOr<PrefillResult> ReadPrefill(const std::string& aBody) const = 0;

  /// @brief Returns the name of the request id header field, which responses echo.
  virtual std::string_view RequestIdHeader() const = 0;

  /// @brief Returns the header field by which any process but the target refuses a request.
  virtual Header ExpectedTarget(const core::TargetId& aTarget) const = 0;

  /// @brief Returns the path at which a GET request gets a target's report on itself.
  virtual std::string ReportPath() const = 0;

  /// @brief Parses the start time in a report.
  /// @return Unix milliseconds, or nothing if the report states none
  virtual std::optional<std::uint64_t> ReadStartTime(const std::string& aReport) const = 0;

  /// @brief Returns the path at which a DELETE request releases a handle.
  virtual std::string HandlePath(const std::string& aHandle) const = 0;

  /// @brief Returns the header field that tells a caller when to retry.
  virtual Header RetryAfter(milliseconds aWait) const = 0;
};

} // namespace plantainslip::serving

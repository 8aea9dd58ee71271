#pragma once

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <plantainslip/net/http_client.hpp>

#include "child_process.hpp"

namespace plantainslip::harness {

/// @brief Key that the operators of a test fleet prove themselves with.
inline constexpr const char* kOperatorKey = "test-operator-key";

/// @brief Key that the processes of a test fleet prove themselves to each other with.
inline constexpr const char* kPeerKey = "test-peer-key";

/// @brief A fake platform and whatever processes a test adds, all on loopback.
class SmallFleet
{
public:
  /// @brief Starts the fake platform.
  SmallFleet();

  /// @brief Starts an entry instance and lists it.
  ChildProcess& AddEntry(const std::string& aName,
                         const std::string& aZone,
                         const std::vector<std::string>& aFlags = {});
  /// @brief Starts a controller.
  ChildProcess& AddController(const std::string& aName,
                              const std::string& aZone,
                              const std::vector<std::string>& aFlags = {});
  /// @brief Starts a fake engine, which lists itself.
  ChildProcess& AddEngine(const std::string& aName,
                          const std::string& aZone,
                          const std::vector<std::string>& aFlags = {});
  /// @brief Starts a fake plain service, which lists itself.
  ChildProcess& AddService(const std::string& aName,
                           const std::string& aZone,
                           const std::string& aService);

  /// @brief Gives the fake platform.
  ChildProcess& Platform() { return *this->platform; }

  /// @brief Submits a patch through an entry instance.
  /// @return HTTP status of the answer
  static int Patch(const ChildProcess& aEntry, std::uint64_t aBase, const nlohmann::json& aChange);

  /// @brief Waits until an entry instance has a version of the configuration in force.
  static void AwaitVersion(const ChildProcess& aEntry, std::uint64_t aVersion);

private:
  ChildProcess& Keep(std::unique_ptr<ChildProcess> aProcess);

  std::unique_ptr<ChildProcess> platform;
  std::vector<std::unique_ptr<ChildProcess>> processes;
};

/// @brief Sends a small request and reads the whole answer.
/// @return the answer; status 0 if there was none
net::HttpReply
Send(const ChildProcess& aProcess,
     const std::string& aMethod,
     const std::string& aTarget,
     const nlohmann::json& aBody = nullptr,
     const std::vector<net::Header>& aHeaders = {});

/// @brief What a caller read of one streamed completion.
struct StreamedAnswer
{
  int status = 0;
  /// @brief Text of all pieces.
  std::string text;
  /// @brief Whether the end marker came.
  bool whole = false;
  /// @brief Everything that was read.
  std::string raw;
};

/// @brief Asks for a streamed completion and reads it to its end.
/// @param aOnPiece  called after each piece that was read; may be empty
StreamedAnswer
Complete(const ChildProcess& aEntry,
         const nlohmann::json& aBody,
         const std::function<void()>& aOnPiece = {});

} // namespace plantainslip::harness

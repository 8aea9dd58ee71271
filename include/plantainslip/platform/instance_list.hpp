#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/net/address.hpp>

namespace plantainslip::platform {

/// @brief What a listed process is.
enum class ListedKind
{
  kEntry,
  kEngine,
  kService,
};

/// @brief One line of the platform's lagging list.
struct ListedInstance
{
  /// @brief Name of the instance; for an engine or a plain service, the target's name.
  std::string name;
  core::ZoneId zone;
  ListedKind kind = ListedKind::kEntry;
  net::Address address;
  /// @brief Where an entry instance listens for its peers; port 0 if it is not listed.
  net::Address peerAddress;
  /// @brief Name of the plain service; empty for others.
  core::ServiceName service;
  /// @brief Whether the instance is about to go.
  bool leaving = false;
};

/// @brief The platform's lagging list of live and leaving instances.
class InstanceList
{
public:
  virtual ~InstanceList() = default;

  /// @brief Reads the list. Blocks; safe from any thread; linear in the list's length.
  /// @return the list, or error 301 (platform.unavailable) or 305 (platform.bad_answer)
  virtual absl::StatusOr<std::vector<ListedInstance>> Read() = 0;
};

} // namespace plantainslip::platform

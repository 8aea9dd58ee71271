#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/statusor.h>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::workspaces {

/// @brief A workspace that callers' requests belong to.
struct Workspace
{
  core::WorkspaceId id;
  /// @brief Priority of its requests, 0 the most urgent; takes precedence over the route's.
  std::optional<int> rank;

  bool operator==(const Workspace&) const = default;
};

/// @brief A workspace and the keys that its callers present.
struct WorkspaceKeys
{
  Workspace workspace;
  std::vector<std::string> keys;
};

/// @brief The keys of all workspaces of one configuration; immutable.
class KeyTable
{
public:
  /// @brief Builds the table. A workspace may have no keys, in which case nobody can use it.
  /// @return the table, or error 1701 (workspaces.bad_workspaces) for an empty key or name, two
  ///         workspaces with one name, a key in two workspaces, or a name with control characters;
  ///         the message has no keys. Linear in the number of keys.
  static absl::StatusOr<KeyTable> Create(std::vector<WorkspaceKeys> aWorkspaces);

  /// @brief Finds the workspace of a key. Constant time on average, whatever the number of keys.
  /// @return the workspace, which lives as long as the table, or nullptr if no workspace has the
  ///         key
  const Workspace* Find(std::string_view aKey) const;

  /// @brief Returns the number of workspaces.
  std::size_t Size() const { return this->workspaces.size(); }

  /// @brief Returns the workspaces without keys, in the configuration's order.
  const std::vector<core::WorkspaceId>& WithoutKeys() const { return this->withoutKeys; }

private:
  KeyTable() = default;

  /// @brief Hashes texts of all kinds alike, so that a lookup needs no copy of the key.
  struct TextHash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name set by the library
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  std::vector<Workspace> workspaces;
  std::vector<core::WorkspaceId> withoutKeys;
  /// @brief Index of the workspace by key.
  std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> byKey;
};

} // namespace plantainslip::workspaces

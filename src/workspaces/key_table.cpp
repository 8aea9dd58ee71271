#include <plantainslip/workspaces/key_table.hpp>

#include <algorithm>
#include <unordered_set>

#include <plantainslip/workspaces/errors.hpp>

namespace plantainslip::workspaces {

namespace {

absl::Status
BadWorkspacesError(const std::string& aDetail)
{
  return core::MakeError(errors::kBadWorkspaces, aDetail);
}

// Names are sent to targets in a header field, which control characters would end.
bool
HasControlCharacters(const std::string& aName)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::any_of(aName.begin(), aName.end(), [](char aCharacter) {
    const auto code = static_cast<unsigned char>(aCharacter);
    return code < kFirstPrintable || code == kDelete;
  });
}

} // namespace

absl::StatusOr<KeyTable>
KeyTable::Create(std::vector<WorkspaceKeys> aWorkspaces)
{
  KeyTable table;
  std::unordered_set<core::WorkspaceId> names;
  for (WorkspaceKeys& entry : aWorkspaces) {
    const core::WorkspaceId id = entry.workspace.id;
    if (id.Empty() || HasControlCharacters(id.Text())) {
      return BadWorkspacesError("a workspace has an empty name or one with control characters");
    }
    if (!names.insert(id).second) {
      return BadWorkspacesError("two workspaces are named " + id.Text());
    }
    const std::size_t index = table.workspaces.size();
    for (std::string& key : entry.keys) {
      if (key.empty()) {
        return BadWorkspacesError("workspace " + id.Text() + " has an empty key");
      }
      const auto [found, isNew] = table.byKey.try_emplace(std::move(key), index);
      if (!isNew && found->second != index) {
        return BadWorkspacesError("workspaces " + table.workspaces[found->second].id.Text() +
                                  " and " + id.Text() + " have a key in common");
      }
    }
    if (entry.keys.empty()) {
      table.withoutKeys.push_back(id);
    }
    table.workspaces.push_back(std::move(entry.workspace));
  }
  return table;
}

const Workspace*
KeyTable::Find(std::string_view aKey) const
{
  const auto found = this->byKey.find(aKey);
  return found == this->byKey.end() ? nullptr : &this->workspaces[found->second];
}

} // namespace plantainslip::workspaces

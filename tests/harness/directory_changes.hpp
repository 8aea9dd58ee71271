#pragma once

#include <string>

#include <plantainslip/serving/directory.hpp>

namespace plantainslip::harness {

/// @brief Interval at which targets renew their entries.
inline constexpr std::chrono::milliseconds kHeartbeat{ 1'200 };

inline serving::StorePosition
At(std::uint64_t aRevision, std::uint64_t aEra = 1)
{
  return { serving::StoreEra(aEra), core::Revision(aRevision) };
}

inline serving::DirectoryChange
Entry(const std::string& aId, std::uint64_t aRevision, bool aLeaving = false)
{
  serving::DirectoryChange change;
  change.id = core::TargetId(aId);
  change.position = At(aRevision);
  change.target.emplace();
  change.target->id = change.id;
  change.target->leaving = aLeaving;
  return change;
}

inline serving::DirectoryChange
Removal(const std::string& aId, std::uint64_t aRevision, std::uint64_t aEra = 1)
{
  serving::DirectoryChange change;
  change.id = core::TargetId(aId);
  change.position = At(aRevision, aEra);
  change.removed = true;
  return change;
}

} // namespace plantainslip::harness

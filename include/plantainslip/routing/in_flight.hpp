#pragma once

#include <map>
#include <mutex>

#include <plantainslip/core/ids.hpp>

namespace plantainslip::routing {

/// @brief Counts the attempts that this instance has under way at each target.
/// @note Safe from any thread; logarithmic in the number of targets; no errors.
class InFlight
{
public:
  /// @brief Counts an attempt in.
  void Add(const core::TargetId& aTarget);
  /// @brief Counts an attempt out.
  void Remove(const core::TargetId& aTarget);
  /// @brief Gives how many attempts are under way.
  std::uint64_t Count(const core::TargetId& aTarget) const;

private:
  mutable std::mutex mutex;
  std::map<core::TargetId, std::uint64_t> counts;
};

} // namespace plantainslip::routing

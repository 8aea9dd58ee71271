#pragma once

#include <memory>

#include <plantainslip/authority/drain_marks.hpp>
#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::control {

/// @brief What a starting entry instance learns its drain marks through; all have to outlive it.
struct DrainMarkPorts
{
  platform::Store& store;
  peers::PeerClient& peers;
  const ViewBoard& board;
  authority::DrainMarks& marks;
};

/// @brief Tries once to learn the marks of the zone. The journal is read only after the instance
///        has seen itself in the list: a controller that drains later then has to ask it. While the
///        store is down no drain can begin, and a peer's marks will do.
/// @param aInstance  this entry instance
/// @param aZone  its availability zone
/// @return whether the marks are those of the journal; if not, try again
/// @note Blocks on the store or on peers; linear in the number of listed instances.
bool
LearnDrainMarks(const DrainMarkPorts& aPorts,
                const core::InstanceId& aInstance,
                const core::ZoneId& aZone);

/// @brief A thread that tries until the marks are learned from the journal.
class DrainMarkLearner
{
public:
  virtual ~DrainMarkLearner() = default;

  /// @brief Starts to try. Destroying the learner ends its thread.
  static std::unique_ptr<DrainMarkLearner> Start(DrainMarkPorts aPorts,
                                                 core::InstanceId aInstance,
                                                 core::ZoneId aZone);
};

} // namespace plantainslip::control

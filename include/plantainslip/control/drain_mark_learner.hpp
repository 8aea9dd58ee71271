#pragma once

#include <memory>

#include <plantainslip/authority/drain_marks.hpp>
#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/core/ids.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::control {

/// @brief Interfaces through which a starting entry instance obtains the drain marks; all must
///        outlive the learner.
struct DrainMarkPorts
{
  platform::Store& store;
  peers::PeerClient& peers;
  const ViewBoard& board;
  authority::DrainMarks& marks;
};

/// @brief Tries once to obtain the zone's drain marks from the order journal in the store. The
///        journal's marks count only if the instance list contained this instance before the
///        journal was read: a controller that starts a drain after that read has to query this
///        instance. While the store is down no drain can begin, so marks copied from a peer are
///        sufficient.
/// @param aInstance  this entry instance
/// @param aZone  its availability zone
/// @return true if the marks were read from the journal; false if the call must be repeated
/// @note Blocks on the store or on peers. Linear in the number of listed instances.
bool
LearnDrainMarks(const DrainMarkPorts& aPorts,
                const core::InstanceId& aInstance,
                const core::ZoneId& aZone);

/// @brief Background thread that calls LearnDrainMarks() with backoff until it succeeds.
class DrainMarkLearner
{
public:
  virtual ~DrainMarkLearner() = default;

  /// @brief Starts the thread; the destructor stops it.
  static std::unique_ptr<DrainMarkLearner> Start(DrainMarkPorts aPorts,
                                                 core::InstanceId aInstance,
                                                 core::ZoneId aZone);
};

} // namespace plantainslip::control

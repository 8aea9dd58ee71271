#include <plantainslip/control/drain_mark_learner.hpp>

#include <condition_variable>
#include <thread>

#include <plantainslip/authority/drain_messages.hpp>
#include <plantainslip/authority/order_journal.hpp>
#include <plantainslip/core/log.hpp>

namespace plantainslip::control {

namespace {

constexpr std::chrono::milliseconds kMinBackoff{ 20 };
constexpr std::chrono::milliseconds kMaxBackoff{ 500 };
constexpr std::chrono::milliseconds kPeerTimeout{ 1000 };

bool
IsListed(const FleetView& aView, const core::InstanceId& aInstance)
{
  for (const EntryView& entry : aView.entries) {
    if (entry.instance == aInstance) {
      return true;
    }
  }
  return false;
}

void
LearnFromPeers(const DrainMarkPorts& aPorts,
               const core::InstanceId& aInstance,
               const core::ZoneId& aZone)
{
  for (const EntryView& entry : aPorts.board.Current()->entries) {
    if (entry.zone != aZone || entry.instance == aInstance) {
      continue;
    }
    const auto answer =
      aPorts.peers.Call(entry.peerAddress, authority::kGetDrainMarksKind, {}, kPeerTimeout);
    const auto marks = answer.ok()
                         ? authority::ParseDrainMarks(*answer)
                         : absl::StatusOr<std::vector<authority::DrainMark>>(answer.status());
    if (marks.ok()) {
      aPorts.marks.Initialize(*marks);
      return;
    }
  }
}

class ThreadedLearner final : public DrainMarkLearner
{
public:
  ThreadedLearner(DrainMarkPorts aPorts, core::InstanceId aInstance, core::ZoneId aZone)
    : ports(aPorts)
    , instance(std::move(aInstance))
    , zone(std::move(aZone))
    , thread([this](const std::stop_token& aStop) { this->Run(aStop); })
  {
  }

private:
  void Run(const std::stop_token& aStop)
  {
    std::chrono::milliseconds backoff = kMinBackoff;
    while (!aStop.stop_requested() && !LearnDrainMarks(this->ports, this->instance, this->zone)) {
      std::unique_lock lock(this->mutex);
      this->stopped.wait_for(lock, aStop, backoff, [] { return false; });
      backoff = std::min(2 * backoff, kMaxBackoff);
    }
    core::Log(core::LogLevel::kInfo, "drain marks learned");
  }

  DrainMarkPorts ports;
  core::InstanceId instance;
  core::ZoneId zone;
  std::mutex mutex;
  std::condition_variable_any stopped;
  std::jthread thread;
};

} // namespace

bool
LearnDrainMarks(const DrainMarkPorts& aPorts,
                const core::InstanceId& aInstance,
                const core::ZoneId& aZone)
{
  const auto view = aPorts.board.Current();
  if (view->entries.empty()) {
    return false;
  }
  // Must be evaluated before the journal is read, see the header.
  const bool listed = IsListed(*view, aInstance);
  const auto marks = authority::ReadDrainMarks(aPorts.store, aZone);
  if (marks.ok() && listed) {
    aPorts.marks.Initialize(*marks);
    return true;
  }
  if (!marks.ok() && !aPorts.marks.IsInitialized()) {
    LearnFromPeers(aPorts, aInstance, aZone);
  }
  return false;
}

std::unique_ptr<DrainMarkLearner>
DrainMarkLearner::Start(DrainMarkPorts aPorts, core::InstanceId aInstance, core::ZoneId aZone)
{
  return std::make_unique<ThreadedLearner>(aPorts, std::move(aInstance), std::move(aZone));
}

} // namespace plantainslip::control

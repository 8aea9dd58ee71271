#include <plantainslip/usage/usage_agent.hpp>

#include <set>

namespace plantainslip::usage {

namespace {

constexpr std::size_t kStandbyCollectors = 2;

} // namespace

std::vector<core::InstanceId>
ChooseCollectors(const std::vector<Member>& aMembers,
                 const std::optional<core::InstanceId>& aHolder)
{
  std::vector<core::InstanceId> chosen;
  std::set<core::ZoneId> zones;
  std::map<core::InstanceId, core::ZoneId> candidates;
  for (const Member& member : aMembers) {
    candidates.emplace(member.id, member.zone);
  }
  std::size_t wanted = kStandbyCollectors;
  const auto choose = [&](const core::InstanceId& aInstance) {
    chosen.push_back(aInstance);
    zones.insert(candidates.at(aInstance));
    candidates.erase(aInstance);
  };
  if (aHolder.has_value() && candidates.contains(*aHolder)) {
    ++wanted;
    choose(core::InstanceId(*aHolder));
  }
  while (chosen.size() < wanted && !candidates.empty()) {
    const auto inOtherZone =
      std::find_if(candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
        return !zones.contains(aCandidate.second);
      });
    const auto next = inOtherZone == candidates.end() ? candidates.begin() : inOtherZone;
    choose(core::InstanceId(next->first));
  }
  return chosen;
}

UsageAgent::UsageAgent(const core::Clock& aClock, const WindowRules& aRules, Member aSelf)
  : clock(aClock)
  , rules(aRules)
  , self(std::move(aSelf))
  , startedAt(aClock.Now())
  , process{ this->self.id,
             static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(aClock.WallNow().time_since_epoch())
                 .count()) }
  , collector(aRules)
{
}

void
UsageAgent::Count(const core::WorkspaceId& aWorkspace)
{
  this->counter.Add(this->rules.At(this->Now()), aWorkspace);
}

CountsMessage
UsageAgent::OwnCounts()
{
  const FleetTime now = this->Now();
  const Window current = this->rules.At(now);
  // A clock that nobody has confirmed may be ahead, and complete windows take no more counts.
  if (this->live.size() <= 1 || this->fleetClock.IsConfirmed(this->clock.Now())) {
    this->counter.Complete(current);
  }
  this->counter.Drop(std::max(this->collector.DoneBefore(),
                              this->rules.At(now - this->rules.due - WindowRules::kMaxAge)));
  CountsMessage message;
  message.process = this->process;
  message.sender = this->self.id;
  message.wallNow = this->clock.WallNow();
  message.uptime = std::chrono::duration_cast<milliseconds>(this->clock.Now() - this->startedAt);
  message.completeBefore = this->counter.CompleteBefore();
  message.counts = this->counter.All();
  for (const auto& [window, counts] : message.counts) {
    for (const auto& [workspace, count] : counts) {
      message.totals[window] += count;
    }
  }
  return message;
}

std::vector<UsageAgent::Outgoing>
UsageAgent::Tick(const std::vector<Member>& aPeers, const std::optional<core::InstanceId>& aHolder)
{
  std::vector<Member> members = aPeers;
  members.push_back(this->self);
  this->live.clear();
  for (const Member& member : members) {
    this->live.push_back(member.id);
  }
  this->collectors = ChooseCollectors(members, aHolder);
  const CountsMessage own = this->OwnCounts();
  const FleetTime now = this->Now();
  this->collector.Merge(own, now);
  this->collector.Prune(now);
  std::vector<Outgoing> outgoing;
  const auto send = [&](const core::InstanceId& aTo, const std::vector<std::string>& aDatagrams) {
    for (const std::string& bytes : aDatagrams) {
      outgoing.push_back({ aTo, bytes });
    }
  };
  const std::vector<std::string> datagrams = EncodeCounts(own);
  for (const core::InstanceId& to : this->collectors) {
    if (to != this->self.id) {
      send(to, datagrams);
    }
  }
  // What ended instances have left is handed to the holder, which may be a new one.
  if (aHolder.has_value() && *aHolder != this->self.id) {
    for (CountsMessage& silent : this->collector.CountsOfSilent(now)) {
      silent.sender = this->self.id;
      send(*aHolder, EncodeCounts(silent));
    }
  }
  return outgoing;
}

std::string
UsageAgent::EncodeKnown() const
{
  return EncodeProgress({ this->self.id,
                          this->Now(),
                          this->progress.doneBefore,
                          this->progress.writtenBefore,
                          this->progress.era });
}

std::vector<UsageAgent::Outgoing>
UsageAgent::Receive(const UsageMessage& aMessage)
{
  std::vector<Outgoing> outgoing;
  const core::MonotonicTime now = this->clock.Now();
  if (aMessage.counts.has_value() && aMessage.counts->process != this->process) {
    const CountsMessage& counts = *aMessage.counts;
    if (counts.sender == counts.process.instance) {
      this->fleetClock.AddReading(counts.sender, counts.wallNow, now);
    }
    if (this->collector.Merge(counts, this->Now())) {
      outgoing.push_back({ counts.sender, this->EncodeKnown() });
    }
  }
  if (aMessage.progress.has_value()) {
    const ProgressMessage& told = *aMessage.progress;
    this->fleetClock.AddAgreed(told.sender, told.now, now);
    this->Learn({ told.doneBefore, told.writtenBefore, told.era });
  }
  return outgoing;
}

void
UsageAgent::Learn(const Progress& aProgress)
{
  // A wrong clock elsewhere must not end the reports of windows to come.
  if (aProgress.doneBefore > this->rules.At(this->Now()).Next()) {
    return;
  }
  this->progress.doneBefore = std::max(this->progress.doneBefore, aProgress.doneBefore);
  if (aProgress.writtenBefore > this->progress.writtenBefore) {
    this->progress.writtenBefore = aProgress.writtenBefore;
    this->progress.era = aProgress.era;
  }
  this->collector.SetDone(this->progress.doneBefore);
}

std::vector<UsageAgent::Outgoing>
UsageAgent::SetProgress(const Progress& aProgress)
{
  const Progress before = this->progress;
  this->Learn(aProgress);
  std::vector<Outgoing> outgoing;
  if (this->progress != before) {
    for (const core::InstanceId& to : this->collectors) {
      if (to != this->self.id) {
        outgoing.push_back({ to, this->EncodeKnown() });
      }
    }
  }
  return outgoing;
}

std::vector<ClosedWindow>
UsageAgent::CloseWindows()
{
  return this->collector.Close(this->Now(), this->live);
}

Progress
UsageAgent::Known() const
{
  Progress known = this->progress;
  known.doneBefore = std::max(known.doneBefore, this->collector.DoneBefore());
  return known;
}

} // namespace plantainslip::usage

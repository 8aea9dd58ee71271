#include <plantainslip/authority/drain_coordinator.hpp>

#include <plantainslip/authority/drain_messages.hpp>
#include <plantainslip/core/for_each.hpp>
#include <plantainslip/core/log.hpp>

namespace plantainslip::authority {

DrainCoordinator::DrainCoordinator(peers::PeerClient& aPeers,
                                   std::chrono::milliseconds aTimeout,
                                   std::size_t aThreads)
  : peers(aPeers)
  , timeout(aTimeout)
  , threads(aThreads)
{
}

void
DrainCoordinator::Reset()
{
  this->confirmedRevisions.clear();
  this->drainedCounts.clear();
}

void
DrainCoordinator::Sync(const std::vector<platform::ListedInstance>& aEntryInstances,
                       const std::vector<DrainMark>& aMarks)
{
  this->drainedCounts.clear();
  this->entryCount = aEntryInstances.size();
  std::vector<DrainRequest> requests;
  for (const platform::ListedInstance& entry : aEntryInstances) {
    DrainRequest request{ &entry, this->MarksToSend(entry.name, aMarks), {} };
    if (!request.marks.empty()) {
      requests.push_back(std::move(request));
    }
  }
  core::ForEachIndex(requests.size(), this->threads, [&](std::size_t aIndex) {
    this->SendRequest(requests[aIndex]);
  });
  for (const DrainRequest& request : requests) {
    this->RecordReplies(request);
  }
}

std::vector<DrainMark>
DrainCoordinator::MarksToSend(const std::string& aEntry, const std::vector<DrainMark>& aMarks) const
{
  const auto confirmedMarks = this->confirmedRevisions.find(aEntry);
  std::vector<DrainMark> marks;
  for (const DrainMark& mark : aMarks) {
    bool isConfirmed = false;
    if (confirmedMarks != this->confirmedRevisions.end()) {
      const auto revision = confirmedMarks->second.find(mark.target);
      isConfirmed = revision != confirmedMarks->second.end() && revision->second >= mark.revision;
    }
    if (mark.draining || !isConfirmed) {
      marks.push_back(mark);
    }
  }
  return marks;
}

void
DrainCoordinator::SendRequest(DrainRequest& aRequest)
{
  const auto response = this->peers.Call(aRequest.entry->peerAddress,
                                         kSetDrainMarksKind,
                                         FormatDrainMarks(aRequest.marks),
                                         this->timeout);
  auto replies = response.ok() ? ParseDrainReplies(*response)
                               : absl::StatusOr<std::vector<DrainReply>>(response.status());
  if (replies.ok()) {
    aRequest.replies = *std::move(replies);
    return;
  }
  core::Log(
    core::LogLevel::kWarning,
    "entry instance did not confirm drain marks",
    { { "entry", aRequest.entry->name }, { "problem", std::string(replies.status().message()) } });
}

void
DrainCoordinator::RecordReplies(const DrainRequest& aRequest)
{
  for (const DrainReply& reply : aRequest.replies) {
    this->confirmedRevisions[aRequest.entry->name][reply.mark.target] = reply.mark.revision;
    if (reply.mark.draining && reply.inFlight == 0) {
      ++this->drainedCounts[reply.mark.target];
    }
  }
}

bool
DrainCoordinator::IsDrained(const core::TargetId& aTarget) const
{
  const auto found = this->drainedCounts.find(aTarget);
  return (found == this->drainedCounts.end() ? 0 : found->second) == this->entryCount;
}

} // namespace plantainslip::authority

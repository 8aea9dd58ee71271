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
DrainCoordinator::Forget()
{
  this->confirmed.clear();
  this->quiet.clear();
}

void
DrainCoordinator::Sync(const std::vector<platform::ListedInstance>& aEntries,
                       const std::vector<DrainMark>& aMarks)
{
  this->quiet.clear();
  this->asked = aEntries.size();
  std::vector<Question> questions;
  for (const platform::ListedInstance& entry : aEntries) {
    Question question{ &entry, this->MarksFor(entry.name, aMarks), {} };
    if (!question.marks.empty()) {
      questions.push_back(std::move(question));
    }
  }
  core::ForEachIndex(
    questions.size(), this->threads, [&](std::size_t aIndex) { this->Ask(questions[aIndex]); });
  for (const Question& question : questions) {
    this->Count(question);
  }
}

std::vector<DrainMark>
DrainCoordinator::MarksFor(const std::string& aEntry, const std::vector<DrainMark>& aMarks) const
{
  const auto known = this->confirmed.find(aEntry);
  std::vector<DrainMark> marks;
  for (const DrainMark& mark : aMarks) {
    bool isKnown = false;
    if (known != this->confirmed.end()) {
      const auto revision = known->second.find(mark.target);
      isKnown = revision != known->second.end() && revision->second >= mark.revision;
    }
    if (mark.draining || !isKnown) {
      marks.push_back(mark);
    }
  }
  return marks;
}

void
DrainCoordinator::Ask(Question& aQuestion)
{
  const auto answer = this->peers.Call(
    aQuestion.entry->peerAddress, kDrainMarkKind, FormatDrainMarks(aQuestion.marks), this->timeout);
  auto replies = answer.ok() ? ParseDrainReplies(*answer)
                             : absl::StatusOr<std::vector<DrainReply>>(answer.status());
  if (replies.ok()) {
    aQuestion.replies = *std::move(replies);
    return;
  }
  core::Log(
    core::LogLevel::kWarning,
    "entry instance does not confirm a drain",
    { { "entry", aQuestion.entry->name }, { "problem", std::string(replies.status().message()) } });
}

void
DrainCoordinator::Count(const Question& aQuestion)
{
  for (const DrainReply& reply : aQuestion.replies) {
    this->confirmed[aQuestion.entry->name][reply.mark.target] = reply.mark.revision;
    if (reply.mark.draining && reply.inFlight == 0) {
      ++this->quiet[reply.mark.target];
    }
  }
}

bool
DrainCoordinator::IsQuiet(const core::TargetId& aTarget) const
{
  const auto found = this->quiet.find(aTarget);
  return (found == this->quiet.end() ? 0 : found->second) == this->asked;
}

} // namespace plantainslip::authority

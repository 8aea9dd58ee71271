#include <plantainslip/authority/drain_marks.hpp>

namespace plantainslip::authority {

DrainMarks::DrainMarks(const routing::InFlight& aInFlight)
  : inFlight(aInFlight)
{
}

void
DrainMarks::MergeIfNewer(const DrainMark& aMark)
{
  DrainMark& current = this->marks[aMark.target];
  if (aMark.revision > current.revision) {
    current = aMark;
  }
}

void
DrainMarks::Initialize(const std::vector<DrainMark>& aMarks)
{
  const std::scoped_lock lock(this->mutex);
  for (const DrainMark& mark : aMarks) {
    this->MergeIfNewer(mark);
  }
  this->initialized = true;
}

bool
DrainMarks::IsInitialized() const
{
  const std::scoped_lock lock(this->mutex);
  return this->initialized;
}

std::vector<DrainReply>
DrainMarks::Apply(const std::vector<DrainMark>& aMarks)
{
  std::vector<DrainReply> replies;
  const std::scoped_lock lock(this->mutex);
  for (const DrainMark& mark : aMarks) {
    this->MergeIfNewer(mark);
  }
  for (const DrainMark& mark : aMarks) {
    DrainReply reply;
    reply.mark = this->marks.at(mark.target);
    reply.mark.target = mark.target;
    reply.inFlight = this->inFlight.Count(mark.target);
    replies.push_back(std::move(reply));
  }
  return replies;
}

bool
DrainMarks::MayStartAttempt(const core::TargetId& aTarget) const
{
  // The attempt was counted before the mark is checked here. So Apply() either counts it in its
  // reply or has set the mark that refuses it.
  const std::scoped_lock lock(this->mutex);
  const auto found = this->marks.find(aTarget);
  const bool draining = found != this->marks.end() && found->second.draining;
  return this->initialized && !draining;
}

std::set<core::TargetId>
DrainMarks::DrainingTargets() const
{
  const std::scoped_lock lock(this->mutex);
  std::set<core::TargetId> draining;
  for (const auto& [target, mark] : this->marks) {
    if (mark.draining) {
      draining.insert(target);
    }
  }
  return draining;
}

std::vector<DrainMark>
DrainMarks::AllMarks() const
{
  const std::scoped_lock lock(this->mutex);
  std::vector<DrainMark> all;
  for (const auto& [target, mark] : this->marks) {
    all.push_back(mark);
  }
  return all;
}

} // namespace plantainslip::authority

#include <plantainslip/requests/answer_assembly.hpp>

namespace plantainslip::requests {

AnswerAssembly::AnswerAssembly(core::RequestId aRequest, core::TokenOffset aStart)
  : request(std::move(aRequest))
  , offset(aStart)
{
}

core::AttemptNumber
AnswerAssembly::NextAttempt()
{
  this->attempt = this->attempt.Next();
  return this->attempt;
}

ChunkAction
AnswerAssembly::ClassifyChunk(const targets::TokenChunk& aChunk)
{
  const bool own = aChunk.request == this->request && aChunk.attempt == this->attempt;
  if (!own) {
    return ChunkAction::kDrop;
  }
  if (aChunk.last) {
    return aChunk.offset == this->offset ? ChunkAction::kFinish : ChunkAction::kBroken;
  }
  if (aChunk.offset < this->offset) {
    return ChunkAction::kDrop;
  }
  if (aChunk.offset > this->offset) {
    return ChunkAction::kBroken;
  }
  this->offset = this->offset.Next();
  return ChunkAction::kDeliver;
}

} // namespace plantainslip::requests

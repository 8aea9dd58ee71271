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

ChunkVerdict
AnswerAssembly::Judge(const targets::TokenChunk& aChunk)
{
  const bool own = aChunk.request == this->request && aChunk.attempt == this->attempt;
  if (!own) {
    return ChunkVerdict::kDrop;
  }
  if (aChunk.last) {
    return aChunk.offset == this->offset ? ChunkVerdict::kFinish : ChunkVerdict::kBroken;
  }
  if (aChunk.offset < this->offset) {
    return ChunkVerdict::kDrop;
  }
  if (aChunk.offset > this->offset) {
    return ChunkVerdict::kBroken;
  }
  this->offset = this->offset.Next();
  return ChunkVerdict::kDeliver;
}

} // namespace plantainslip::requests

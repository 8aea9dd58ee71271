#include <doctest/doctest.h>

#include <plantainslip/requests/answer_assembly.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using requests::AnswerAssembly;
using requests::ChunkVerdict;

namespace {

targets::TokenChunk
Chunk(std::uint64_t aAttempt, std::uint64_t aOffset)
{
  targets::TokenChunk chunk;
  chunk.request = core::RequestId("own");
  chunk.attempt = core::AttemptNumber(aAttempt);
  chunk.offset = core::TokenOffset(aOffset);
  chunk.text = "w ";
  return chunk;
}

} // namespace

TEST_CASE("an answer is put together from the pieces of its own attempt")
{
  AnswerAssembly assembly(core::RequestId("own"), core::TokenOffset());
  assembly.NextAttempt();

  SUBCASE("pieces in order are delivered")
  {
    CHECK(assembly.Judge(Chunk(1, 0)) == ChunkVerdict::kDeliver);
    CHECK(assembly.Judge(Chunk(1, 1)) == ChunkVerdict::kDeliver);
    CHECK(assembly.Offset() == core::TokenOffset(2));
  }

  SUBCASE("a piece of another request is dropped")
  {
    targets::TokenChunk crossed = Chunk(1, 0);
    crossed.request = core::RequestId("other");
    CHECK(assembly.Judge(crossed) == ChunkVerdict::kDrop);
  }

  SUBCASE("a late piece of an earlier attempt is dropped")
  {
    assembly.NextAttempt();
    CHECK(assembly.Judge(Chunk(1, 0)) == ChunkVerdict::kDrop);
    CHECK(assembly.Judge(Chunk(2, 0)) == ChunkVerdict::kDeliver);
  }

  SUBCASE("a repeated piece is dropped and a skipped one breaks the attempt")
  {
    CHECK(assembly.Judge(Chunk(1, 0)) == ChunkVerdict::kDeliver);
    CHECK(assembly.Judge(Chunk(1, 0)) == ChunkVerdict::kDrop);
    CHECK(assembly.Judge(Chunk(1, 2)) == ChunkVerdict::kBroken);
  }

  SUBCASE("an end marker counts only at the answer's own length")
  {
    targets::TokenChunk end = Chunk(1, 1);
    end.last = true;
    CHECK(assembly.Judge(end) == ChunkVerdict::kBroken);
    CHECK(assembly.Judge(Chunk(1, 0)) == ChunkVerdict::kDeliver);
    CHECK(assembly.Judge(end) == ChunkVerdict::kFinish);
  }
}

#include <doctest/doctest.h>

#include <plantainslip/requests/answer_assembly.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using requests::AnswerAssembly;
using requests::ChunkAction;

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

TEST_CASE("an answer is assembled from the chunks of the current attempt")
{
  AnswerAssembly assembly(core::RequestId("own"), core::TokenOffset());
  assembly.NextAttempt();

  SUBCASE("chunks in order are delivered")
  {
    CHECK(assembly.ClassifyChunk(Chunk(1, 0)) == ChunkAction::kDeliver);
    CHECK(assembly.ClassifyChunk(Chunk(1, 1)) == ChunkAction::kDeliver);
    CHECK(assembly.Offset() == core::TokenOffset(2));
  }

  SUBCASE("a chunk of another request is dropped")
  {
    targets::TokenChunk crossed = Chunk(1, 0);
    crossed.request = core::RequestId("other");
    CHECK(assembly.ClassifyChunk(crossed) == ChunkAction::kDrop);
  }

  SUBCASE("a late chunk of an earlier attempt is dropped")
  {
    assembly.NextAttempt();
    CHECK(assembly.ClassifyChunk(Chunk(1, 0)) == ChunkAction::kDrop);
    CHECK(assembly.ClassifyChunk(Chunk(2, 0)) == ChunkAction::kDeliver);
  }

  SUBCASE("a repeated chunk is dropped and a gap fails the attempt")
  {
    CHECK(assembly.ClassifyChunk(Chunk(1, 0)) == ChunkAction::kDeliver);
    CHECK(assembly.ClassifyChunk(Chunk(1, 0)) == ChunkAction::kDrop);
    CHECK(assembly.ClassifyChunk(Chunk(1, 2)) == ChunkAction::kBroken);
  }

  SUBCASE("an end marker is accepted only at the current offset")
  {
    targets::TokenChunk end = Chunk(1, 1);
    end.last = true;
    CHECK(assembly.ClassifyChunk(end) == ChunkAction::kBroken);
    CHECK(assembly.ClassifyChunk(Chunk(1, 0)) == ChunkAction::kDeliver);
    CHECK(assembly.ClassifyChunk(end) == ChunkAction::kFinish);
  }
}

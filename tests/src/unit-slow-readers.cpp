#include <doctest/doctest.h>

#include <thread>

#include "harness/raw_connection.hpp"
#include "harness/wire_fleet.hpp"

#include <plantainslip/core/clock.hpp>

#include "http_listener.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

/// More than the sockets and the session keep for a caller that reads nothing.
constexpr std::size_t kChunks = 2'000;
constexpr std::size_t kChunkBytes = 32'768;
constexpr std::uint64_t kCapacity = 2'000'000;

std::string
ChunkAt(std::size_t aIndex)
{
  return std::string(kChunkBytes + aIndex % 7, static_cast<char>('a' + aIndex % 26));
}

/// @brief A listener whose only request is answered by a stream that is larger than all buffers.
class StreamRig
{
public:
  StreamRig()
    : listener(*HttpListener::Open(
        this->context,
        net::Address{ "127.0.0.1", 0 },
        this->clock,
        [this](const CallerRequest&, AnswerWriter& aWriter, Cancellation& aCancellation) {
          return this->Stream(aWriter, aCancellation);
        }))
  {
    this->listener->SetMachineLimits({ &this->memory, 0, nullptr });
    this->connection.emplace(this->listener->LocalAddress());
    this->connection->Send("GET /one HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  asio::io_context context;
  core::SystemClock clock;
  MemoryBudget memory{ kCapacity, this->clock };
  std::size_t written = 0;
  bool ended = false;
  bool cancelled = false;
  std::unique_ptr<HttpListener> listener;
  std::optional<harness::RawConnection> connection;

private:
  Task<void> Stream(AnswerWriter& aWriter, Cancellation& aCancellation)
  {
    HeaderList headers;
    bool open = co_await aWriter.BeginStream(200, std::move(headers));
    while (open && this->written < kChunks) {
      std::string chunk = ChunkAt(this->written);
      open = co_await aWriter.WriteChunk(std::move(chunk));
      this->written += open ? 1 : 0;
    }
    if (open) {
      co_await aWriter.EndStream();
    }
    this->cancelled = aCancellation.Reason().has_value();
    this->ended = true;
  }
};

} // namespace

// Guards against streams that are kept without a limit for a caller that does not read, and against
// bytes that are lost or reordered between the kept ones and those that are sent directly.
TEST_CASE("a stream waits for a slow caller and then arrives whole")
{
  StreamRig rig;
  rig.context.run_for(300ms);
  CHECK(rig.written > 0);
  CHECK(rig.written < kChunks);
  CHECK(rig.memory.Used() > 0);
  CHECK(rig.memory.Used() <= kCapacity);
  std::string bytes;
  std::jthread reader([&] { bytes = rig.connection->ReadToEnd(); });
  while (!rig.ended) {
    rig.context.run_for(10ms);
  }
  rig.connection->FinishSending();
  rig.context.run_for(50ms);
  reader.join();
  std::string expected;
  for (std::size_t index = 0; index < kChunks; ++index) {
    expected += ChunkAt(index);
  }
  const harness::CallerAnswer answer = harness::ParseAnswer(bytes);
  CHECK(answer.complete);
  CHECK((answer.body == expected));
  CHECK_FALSE(rig.cancelled);
  CHECK(rig.memory.Used() == 0);
}

// Guards against callers that read nothing and hold memory that others need.
TEST_CASE("a stream that its caller does not read is cancelled when the memory is needed")
{
  StreamRig rig;
  rig.context.run_for(300ms);
  REQUIRE_FALSE(rig.ended);
  REQUIRE(rig.memory.Used() > 0);
  MemoryBudget::Account other(rig.memory);
  CHECK(other.Resize(kCapacity / 8 * 7));
  rig.context.run_for(50ms);
  CHECK(rig.ended);
  CHECK(rig.cancelled);
  CHECK(rig.memory.Used() == kCapacity / 8 * 7);
}

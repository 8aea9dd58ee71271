#include <doctest/doctest.h>

#include "harness/abusive_clients.hpp"
#include "harness/wire_fleet.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::harness; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

/// Limits of the machine in the settings. The clients of each test together send at least twice
/// this memory, or open more connections than these descriptors.
constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kMaxMemory = kMemoryMegabytes * 1'000'000;
constexpr std::size_t kMaxDescriptors = 300;
constexpr std::size_t kDescriptorsForFiles = 200;

/// Limit of the configuration on one body.
constexpr std::size_t kMaxBody = 4'194'304;
constexpr std::size_t kBodies = 32;
/// Less than the time after which idle connections are closed, so an answer within it does not come
/// from their end.
constexpr std::chrono::milliseconds kPatience{ 10'000 };

const std::string kHead = "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: abuse\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string
WithLength(std::size_t aLength)
{
  return kHead + "Content-Length: " + std::to_string(aLength) + "\r\n\r\n";
}

ClientScript
EndlessTrailers()
{
  const std::string trailer = "X-Trailer: " + std::string(1'000, 't') + "\r\n";
  return { kChunked + "0\r\n", trailer, 16'000 };
}

// A body of the largest size but for its last piece.
ClientScript
LargeChunks()
{
  return { kChunked, "10000\r\n" + std::string(65'536, 'b') + "\r\n", kMaxBody / 65'536 - 1 };
}

ClientScript
TinyChunks()
{
  return { kChunked, "10\r\n" + std::string(16, 'b') + "\r\n", kMaxBody / 16 - 1 };
}

ClientScript
LengthStated()
{
  return { WithLength(kMaxBody), std::string(65'536, 'b'), kMaxBody / 65'536 - 1 };
}

ClientScript
OverLimitStated()
{
  return { WithLength(100 * kMaxBody), std::string(65'536, 'b'), 2 * kMaxBody / 65'536 };
}

ClientScript
OverLimitSent()
{
  return { kChunked, "10000\r\n" + std::string(65'536, 'b') + "\r\n", 8 * kMaxBody / 65'536 };
}

ClientScript
EndlessHead()
{
  return { kHead, "X-Filler: " + std::string(1'000, 'h') + "\r\n", 15 };
}

ClientScript
PipelinedRequests()
{
  return { "", "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p\r\n\r\n", 100'000 };
}

/// @brief One instance with lowered limits in front of one target.
class SmallMachine
{
public:
  SmallMachine()
  {
    this->fleet.AddTarget("d-1", "desk", "");
    this->fleet.Configure(3, "", kMaxBody);
    this->fleet.SetMachineLimits(kMemoryMegabytes, kMaxDescriptors);
    this->fleet.StartGateway();
    LimitDescriptors(this->Id(), kMaxDescriptors);
    this->fleet.AwaitServed("/look/0", 200);
  }

  pid_t Id() { return this->fleet.Gateway(0).Id(); }

  /// @brief Checks that the instance keeps its limits and answers an ordinary request.
  void Check()
  {
    REQUIRE(this->fleet.Gateway(0).IsRunning());
    CHECK(CountSockets(this->Id()) <= kMaxDescriptors - kDescriptorsForFiles);
    CHECK(CallOnce(this->fleet.Callers(),
                   "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ordinary\r\n"
                   "X-Deadline-Ms: 5000\r\n\r\n",
                   kPatience) == 200);
    CHECK(this->fleet.Readiness() == 200);
    const std::size_t peakMemory = PeakMemory(this->Id());
    MESSAGE("peak memory: " << peakMemory);
    CHECK(peakMemory <= kMaxMemory);
    CHECK(CountSockets(this->Id()) <= kMaxDescriptors - kDescriptorsForFiles);
  }

  /// @brief Plays a number of clients, and checks the instance beside them and after them.
  void Play(std::size_t aCount, const ClientScript& aScript)
  {
    {
      AbusiveClients clients(this->fleet.Callers());
      clients.Open(aCount, aScript);
      clients.SendAll();
      this->Check();
    }
    this->Check();
  }

  WireFleet fleet;
};

} // namespace

// Guards against trailers that are buffered without a limit.
TEST_CASE("trailers without end leave an instance within its limits")
{
  SmallMachine().Play(8, EndlessTrailers());
}

// Guards against bodies that are each within the limit and together exhaust the memory.
TEST_CASE("many bodies in large chunks that stop short of their end stay within the limits")
{
  SmallMachine().Play(kBodies, LargeChunks());
}

TEST_CASE("many bodies in tiny chunks that stop short of their end stay within the limits")
{
  SmallMachine().Play(kBodies, TinyChunks());
}

TEST_CASE("many bodies with a length that stop short of their end stay within the limits")
{
  SmallMachine().Play(kBodies, LengthStated());
}

// Guards against bodies over the limit that are read or kept nevertheless.
TEST_CASE("bodies stated to be over the limit leave an instance within its limits")
{
  SmallMachine().Play(kBodies, OverLimitStated());
}

TEST_CASE("bodies sent over the limit leave an instance within its limits")
{
  SmallMachine().Play(kBodies, OverLimitSent());
}

// Guards against heads that hold memory or descriptors for long.
TEST_CASE("heads that do not end leave an instance within its limits")
{
  SmallMachine().Play(80, EndlessHead());
}

// Guards against answers that pile up because nobody reads them.
TEST_CASE("pipelined requests whose answers are not read leave an instance within its limits")
{
  SmallMachine().Play(16, PipelinedRequests());
}

// Guards against silent connections that take all descriptors.
TEST_CASE("connections that send nothing leave descriptors for ordinary callers")
{
  SmallMachine().Play(400, {});
}

// Guards against limits that hold for one kind of abuse and not for their sum.
TEST_CASE("all kinds of abusive clients at once leave an instance within its limits")
{
  SmallMachine machine;
  {
    AbusiveClients clients(machine.fleet.Callers());
    clients.Open(200, {});
    for (const ClientScript& script : { EndlessTrailers(),
                                        LargeChunks(),
                                        TinyChunks(),
                                        LengthStated(),
                                        OverLimitStated(),
                                        OverLimitSent(),
                                        EndlessHead(),
                                        PipelinedRequests() }) {
      clients.Open(8, script);
    }
    clients.Open(200, {});
    clients.SendAll();
    machine.Check();
  }
  machine.Check();
}

// Guards against silent connections that hide the others, because they have displaced them before
// they sent anything.
TEST_CASE("abusive clients that send before silent ones come leave an instance within its limits")
{
  SmallMachine machine;
  {
    AbusiveClients sending(machine.fleet.Callers());
    for (const ClientScript& script :
         { EndlessTrailers(), LargeChunks(), TinyChunks(), LengthStated(), OverLimitSent() }) {
      sending.Open(5, script);
    }
    sending.SendAll();
    machine.Check();
    AbusiveClients silent(machine.fleet.Callers());
    silent.Open(200, {});
    machine.Check();
  }
  machine.Check();
}

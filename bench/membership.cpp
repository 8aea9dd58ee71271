// Membership: time to detect a death, false positives, bytes and processor time a second for each
// instance, by the size of a zone. One run prints the table; the seed is in it.

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

#include <harness/member_network.hpp>

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::MemberNetwork;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;
constexpr int kDeaths = 20;
constexpr seconds kWatched(120);
constexpr seconds kMostWait(60);
constexpr double kNanosecondsAMicrosecond = 1000.0;

double
ProcessorMicroseconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / kNanosecondsAMicrosecond;
}

std::unique_ptr<MemberNetwork>
MakeZone(std::size_t aSize, double aLoss, std::uint64_t aSeed)
{
  auto network = std::make_unique<MemberNetwork>(aSeed);
  for (std::size_t number = 0; number < aSize; ++number) {
    network->Add("entry-sokcho-" + std::to_string(number), "sokcho");
  }
  network->ReadList();
  network->SetLoss(aLoss);
  network->Run(seconds(10));
  return network;
}

void
MeasureDetection(std::size_t aSize, double aLoss, std::vector<milliseconds>& aTimes)
{
  for (int death = 0; death < kDeaths; ++death) {
    const auto network = MakeZone(aSize, aLoss, kSeed + static_cast<std::uint64_t>(death));
    const std::size_t victim = static_cast<std::size_t>(death) % aSize;
    network->SetRunning(victim, false);
    aTimes.push_back(
      network->RunUntil([&] { return network->AllHoldDead("sokcho", victim); }, kMostWait));
  }
  std::sort(aTimes.begin(), aTimes.end());
}

void
PrintRow(std::size_t aSize, double aLoss)
{
  std::vector<milliseconds> times;
  MeasureDetection(aSize, aLoss, times);
  const auto network = MakeZone(aSize, aLoss, kSeed);
  network->CountBytes();
  const std::uint64_t bytesBefore = network->Bytes();
  const double processorBefore = ProcessorMicroseconds();
  std::size_t wrong = 0;
  for (seconds passed(0); passed < kWatched; passed += seconds(1)) {
    network->Run(seconds(1));
    wrong += network->WronglyDead();
  }
  const double instanceSeconds = static_cast<double>(aSize) * static_cast<double>(kWatched.count());
  const double processor = (ProcessorMicroseconds() - processorBefore) / instanceSeconds;
  const double bytes = static_cast<double>(network->Bytes() - bytesBefore) / instanceSeconds;
  std::printf("%9zu %5.0f%% %12.2f %12.2f %8zu %12.0f %14.4f%%\n",
              aSize,
              aLoss * 100.0,
              static_cast<double>(times[times.size() / 2].count()) / 1e3,
              static_cast<double>(times.back().count()) / 1e3,
              wrong,
              bytes,
              processor / 1e4);
}

} // namespace

int
main()
{
  std::printf(
    "seed %llu; %d deaths a row; %lld s watched for false positives; bytes are sent ones\n"
    "with headers of IP and UDP; processor time holds the state machine and the encoding\n",
    static_cast<unsigned long long>(kSeed),
    kDeaths,
    static_cast<long long>(kWatched.count()));
  std::printf("instances   loss  median s (all)  worst s    wrong  bytes/s each  core each\n");
  for (const std::size_t size : { 3U, 9U, 30U, 59U }) {
    for (const double loss : { 0.0, 0.01, 0.05, 0.2 }) {
      PrintRow(size, loss);
    }
  }
  return 0;
}

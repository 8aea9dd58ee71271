// What an entry instance adds to a direct call of the same fake engine, in one run: latency of a
// request's first token and of each token, processor time, and memory per open stream, from 10 to
// 1,000 open streams. Nothing is random: every stream asks for the same answer.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <harness/small_fleet.hpp>
#include <unistd.h>
namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr std::uint64_t kTokens = 60;
constexpr int kTokenIntervalUs = 20'000;
constexpr std::chrono::milliseconds kTimeout = std::chrono::seconds(60);
constexpr std::size_t kKilobyte = 1024;

// Processor time and memory of one process.
struct Usage
{
  double cpuSeconds = 0.0;
  double residentKilobytes = 0.0;
};

Usage
ReadUsage(pid_t aProcess)
{
  const std::string folder = "/proc/" + std::to_string(aProcess);
  std::ifstream file(folder + "/stat");
  std::string text;
  std::getline(file, text);
  unsigned long user = 0;
  unsigned long system = 0;
  const std::string fields = text.substr(text.rfind(')') + 2);
  (void)std::sscanf(
    fields.c_str(), "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
  std::ifstream memory(folder + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  memory >> total >> resident;
  Usage usage;
  usage.cpuSeconds = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.residentKilobytes =
    static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / kKilobyte;
  return usage;
}

// Durations in milliseconds. All are kept, since a histogram's bins are wider than what is
// measured.
class Durations
{
public:
  void Add(const std::vector<double>& aDurations)
  {
    const std::scoped_lock lock(this->mutex);
    this->values.insert(this->values.end(), aDurations.begin(), aDurations.end());
  }

  double Quantile(double aShare)
  {
    const std::scoped_lock lock(this->mutex);
    if (this->values.empty()) {
      return 0.0;
    }
    std::sort(this->values.begin(), this->values.end());
    const double last = static_cast<double>(this->values.size() - 1);
    return this->values[static_cast<std::size_t>(aShare * last)];
  }

private:
  std::mutex mutex;
  std::vector<double> values;
};

// What all streams of one round saw.
struct Round
{
  Durations firstToken;
  Durations tokenGap;
  std::atomic<std::uint64_t> whole = 0;
};

void
ReadStream(const net::Address& aAddress,
           const net::HttpRequest& aRequest,
           const std::string& aEndMark,
           Round& aRound)
{
  auto last = std::chrono::steady_clock::now();
  std::vector<double> waits;
  const auto stream = net::HttpStream::Open(aAddress, aRequest);
  if (!stream.ok() || (*stream)->StatusCode() != 200) {
    return;
  }
  std::string tail;
  for (;;) {
    const auto piece = (*stream)->Read(kTimeout);
    if (!piece.ok() || !piece->has_value()) {
      break;
    }
    const auto now = std::chrono::steady_clock::now();
    waits.push_back(std::chrono::duration<double, std::milli>(now - last).count());
    last = now;
    tail = **piece;
  }
  if (!waits.empty()) {
    aRound.firstToken.Add({ waits.front() });
    waits.erase(waits.begin());
    aRound.tokenGap.Add(waits);
  }
  aRound.whole += tail.find(aEndMark) == std::string::npos ? 0U : 1U;
}

// Runs a number of streams at once and gives the memory of a process while all are open.
Usage
RunStreams(std::size_t aStreams,
           const net::Address& aAddress,
           const net::HttpRequest& aRequest,
           const std::string& aEndMark,
           pid_t aWatched,
           Round& aRound)
{
  std::vector<std::thread> callers;
  for (std::size_t stream = 0; stream < aStreams; ++stream) {
    callers.emplace_back([&] { ReadStream(aAddress, aRequest, aEndMark, aRound); });
  }
  std::this_thread::sleep_for(std::chrono::microseconds(kTokenIntervalUs * kTokens / 2));
  const Usage usage = ReadUsage(aWatched);
  for (std::thread& caller : callers) {
    caller.join();
  }
  return usage;
}

net::HttpRequest
DirectRequest()
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/generate";
  request.timeout = kTimeout;
  request.body = json{
    { "request", "direct" }, { "attempt", 1 },          { "model", "m" }, { "version", "1" },
    { "prompt", "p" },       { "max_tokens", kTokens }, { "offset", 0 }
  }.dump();
  return request;
}

net::HttpRequest
EntryRequest()
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.timeout = kTimeout;
  request.body = json{
    { "model", "reader" }, { "prompt", "p" }, { "max_tokens", kTokens }, { "stream", true }
  }.dump();
  return request;
}

void
PrintRow(const char* aWay, std::size_t aStreams, Round& aRound)
{
  std::printf("%-7s %8zu %8llu %10.2f %10.2f %10.2f %10.2f\n",
              aWay,
              aStreams,
              static_cast<unsigned long long>(aRound.whole.load()),
              aRound.firstToken.Quantile(0.5),
              aRound.firstToken.Quantile(0.95),
              aRound.tokenGap.Quantile(0.5),
              aRound.tokenGap.Quantile(0.95));
}

} // namespace

int
main()
{
  harness::SmallFleet fleet;
  auto& entry = fleet.AddEntry("entry-1", "a", { "--threads", "1100" });
  fleet.AddController("entry-1", "a");
  const harness::ChildProcess engine("tests/fake-engine",
                                     { "--name",
                                       "engine-1",
                                       "--zone",
                                       "a",
                                       "--platform",
                                       fleet.Platform().ListeningAddress().Text(),
                                       "--token-interval-us",
                                       std::to_string(kTokenIntervalUs),
                                       "--threads",
                                       "2300",
                                       "--model",
                                       "m",
                                       "--model-version",
                                       "1" });
  harness::SmallFleet::Patch(
    entry,
    0,
    { { "deployments", { { "reader", { { "model", "m" }, { "version", "1" } } } } },
      { "targets", { { "engine-1", { { "deployment", "reader" } } } } } });
  json probe = json::parse(EntryRequest().body);
  probe["max_tokens"] = 1;
  harness::Await("the fleet serves", [&] { return harness::Complete(entry, probe).whole; });

  std::printf("engine: one token every %d us, %llu tokens a stream\n",
              kTokenIntervalUs,
              static_cast<unsigned long long>(kTokens));
  std::printf("%-7s %8s %8s %21s %21s\n", "way", "streams", "whole", "first token ms", "gap ms");
  std::printf("%-7s %8s %8s %10s %10s %10s %10s\n", "", "", "", "p50", "p95", "p50", "p95");
  for (const std::size_t streams : { 10U, 100U, 300U, 1000U }) {
    Round direct;
    RunStreams(streams, engine.ListeningAddress(), DirectRequest(), "\"end\"", engine.Id(), direct);
    PrintRow("direct", streams, direct);
    Round through;
    const Usage before = ReadUsage(entry.Id());
    const Usage open =
      RunStreams(streams, entry.ListeningAddress(), EntryRequest(), "[DONE]", entry.Id(), through);
    const double cpu = ReadUsage(entry.Id()).cpuSeconds - before.cpuSeconds;
    PrintRow("entry", streams, through);
    const auto whole = static_cast<double>(through.whole.load());
    std::printf("        added: first token p50 %.2f p95 %.2f ms, token p50 %.3f p95 %.3f ms\n",
                through.firstToken.Quantile(0.5) - direct.firstToken.Quantile(0.5),
                through.firstToken.Quantile(0.95) - direct.firstToken.Quantile(0.95),
                through.tokenGap.Quantile(0.5) - direct.tokenGap.Quantile(0.5),
                through.tokenGap.Quantile(0.95) - direct.tokenGap.Quantile(0.95));
    std::printf("        entry: %.2f cpu s, %.0f requests and %.0f tokens a second per core, "
                "%.1f KB per open stream\n",
                cpu,
                whole / cpu,
                whole * kTokens / cpu,
                (open.residentKilobytes - before.residentKilobytes) / static_cast<double>(streams));
  }
  return 0;
}

// Messages between peers over loopback: calls a second and their latency by the number of callers
// that share one connection, and pieces a second of one stream. One run prints the table.

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/peers/peer_server.hpp>

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

constexpr int kCalls = 2000;
constexpr int kPieces = 200'000;
constexpr std::size_t kBodyBytes = 1000;
constexpr std::chrono::seconds kTimeout(20);

double
Microseconds(Clock::duration aTime)
{
  return std::chrono::duration<double, std::micro>(aTime).count();
}

void
PrintCalls(peers::PeerClient& aClient, const net::Address& aPeer, int aCallers)
{
  std::vector<std::vector<double>> latencies(static_cast<std::size_t>(aCallers));
  std::vector<std::thread> callers;
  callers.reserve(latencies.size());
  const auto begun = Clock::now();
  for (auto& own : latencies) {
    callers.emplace_back([&] {
      const std::string body(kBodyBytes, 'x');
      for (int call = 0; call < kCalls; ++call) {
        const auto sent = Clock::now();
        if (aClient.Call(aPeer, "echo", body, kTimeout).ok()) {
          own.push_back(Microseconds(Clock::now() - sent));
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const double seconds = Microseconds(Clock::now() - begun) / 1e6;
  std::vector<double> all;
  for (const auto& own : latencies) {
    all.insert(all.end(), own.begin(), own.end());
  }
  std::sort(all.begin(), all.end());
  std::printf("%7d %10.0f %9.0f %9.0f %8zu\n",
              aCallers,
              static_cast<double>(all.size()) / seconds,
              all[all.size() / 2],
              all[all.size() * 99 / 100],
              static_cast<std::size_t>(aCallers) * kCalls - all.size());
}

void
PrintStream(peers::PeerClient& aClient, const net::Address& aPeer)
{
  const auto begun = Clock::now();
  const auto stream = aClient.OpenStream(aPeer, "count", "", kTimeout);
  int pieces = 0;
  while (stream.ok()) {
    const auto piece = (*stream)->Next();
    if (!piece.ok() || !piece->has_value()) {
      break;
    }
    ++pieces;
  }
  const double seconds = Microseconds(Clock::now() - begun) / 1e6;
  std::printf("one stream: %d of %d pieces, %.0f a second\n", pieces, kPieces, pieces / seconds);
}

} // namespace

int
main()
{
  peers::PeerHandlers handlers;
  handlers.calls["echo"] = [](const std::string& aBody) { return aBody; };
  handlers.streams["count"] = [](const std::string&, const peers::SendPiece& aSend) {
    for (int piece = 0; piece < kPieces; ++piece) {
      aSend("token");
    }
    return absl::OkStatus();
  };
  peers::PeerServerOptions options;
  options.key = "key";
  options.threads = 64;
  const auto server = peers::PeerServer::Create(options, std::move(handlers));
  const auto client = peers::MakeHttp2PeerClient("key");
  std::printf("calls of %zu bytes\ncallers    calls/s  median us  99%% us   failed\n", kBodyBytes);
  for (const int callers : { 1, 8, 64 }) {
    PrintCalls(*client, (*server)->ListeningAddress(), callers);
  }
  PrintStream(*client, (*server)->ListeningAddress());
  return 0;
}

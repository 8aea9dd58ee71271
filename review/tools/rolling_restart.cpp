// Case: rolling restarts of two machines of three, and nothing else. Usage: rolling_restart FOLDER
// TEMPORARY, with record.txt in FOLDER.

#include "engines.hpp"

namespace {

using namespace rig; // NOLINT(google-build-using-namespace)

constexpr int kCycles = 8;
constexpr int kCycleMs = 11'500;
constexpr int kGapMs = 1'300;
constexpr std::int64_t kGraceMs = 8'000;
constexpr int kWorkMs = 15;
/// A payment that ends without an answer before this has not reached its route's timeout.
constexpr std::int64_t kBeforeTimeoutMs = 700;
/// Clients that pay, each time on a new connection, and their pause between two payments.
constexpr int kPayers = 100;
constexpr int kPauseMs = 100;
/// Clients that read streams of some five seconds, which a machine finishes before it ends.
constexpr int kReaders = 60;
constexpr int kStreamEvents = 24;
constexpr int kEventGapMs = 200;

/// @brief State that the parts of the case share.
struct Shared
{
  explicit Shared(const std::string& aFile)
    : record(aFile)
  {
  }

  Record record;
  std::mutex mutex;
  /// @brief Workers that payments have reached.
  std::map<std::string, std::string> workers;
  /// @brief When each machine got SIGTERM last.
  std::map<std::string, std::int64_t> stoppedAt;
  std::atomic<bool> ended = false;
  std::atomic<int> paid = 0;
  std::atomic<int> lost = 0;
};

/// @brief A sound worker of the plain service.
class DeskWorker
{
public:
  DeskWorker(Store& aStore, Shared& aShared, std::string aId)
    : shared(aShared)
    , id(std::move(aId))
    , server([this](int aConnection, const Message& aRequest) {
      return this->Serve(aConnection, aRequest);
    })
  {
    aStore.Put("servers/" + this->id, Entry("desk", this->server.Address(), "z1", "").dump());
  }

private:
  bool Serve(int aConnection, const Message& aRequest)
  {
    const std::string requestId = aRequest.Field("X-Request-Id");
    const std::string echoed = "X-Request-Id: " + requestId + "\r\n";
    if (aRequest.Field("X-Expect-Instance") != this->id) {
      return SendAll(aConnection, FormatAnswer(421, echoed + "X-Not-Run: 1\r\n", ""));
    }
    {
      const std::scoped_lock lock(this->shared.mutex);
      this->shared.workers[requestId] = this->id;
    }
    this->shared.record.Write(this->id + ": runs " + requestId);
    Sleep(kWorkMs);
    return SendAll(
      aConnection,
      FormatAnswer(200, echoed + "X-Response-Seal: seal-" + this->id + "\r\n", "paid"));
  }

  Shared& shared;
  std::string id;
  Server server;
};

/// @brief The platform before the machines: asks each once a second whether it is ready.
class Balancer
{
public:
  Balancer(Shared& aShared, const std::vector<std::unique_ptr<Gateway>>& aGateways)
    : shared(aShared)
    , gateways(aGateways)
    , misses(aGateways.size())
  {
  }

  /// @brief Chooses the machine of a new connection: one in rotation, or any if fewer than half of
  ///        the machines are.
  const Gateway& Choose(std::size_t aNumber)
  {
    const std::scoped_lock lock(this->mutex);
    std::vector<const Gateway*> all;
    std::vector<const Gateway*> inRotation;
    for (std::size_t at = 0; at < this->gateways.size(); ++at) {
      all.push_back(this->gateways[at].get());
      if (this->misses[at] < 2) {
        inRotation.push_back(all.back());
      }
    }
    const auto& usable = inRotation.size() * 2 < all.size() ? all : inRotation;
    return *usable[aNumber % usable.size()];
  }

  void Ask()
  {
    while (!this->shared.ended) {
      for (std::size_t at = 0; at < this->gateways.size(); ++at) {
        const Answer answer =
          Call(this->gateways[at]->Ready(),
               "GET /plantainslip/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
               200);
        const std::scoped_lock lock(this->mutex);
        this->misses[at] = answer.status == 200 ? 0 : this->misses[at] + 1;
      }
      Sleep(1'000);
    }
  }

private:
  Shared& shared;
  const std::vector<std::unique_ptr<Gateway>>& gateways;
  std::mutex mutex;
  std::vector<int> misses;
};

std::optional<bool>
StreamSlowly(int aConnection, const Message& aRequest)
{
  bool open =
    SendAll(aConnection,
            "HTTP/1.1 200 X\r\nX-Request-Id: " + aRequest.Field("X-Request-Id") +
              "\r\nX-Response-Seal: seal-" + aRequest.Field("X-Expect-Instance") +
              "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int number = 1; open && number <= kStreamEvents; ++number) {
    Sleep(kEventGapMs);
    const std::string event = Engine::Event(aRequest.Field("X-Request-Id"), number);
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    open = SendAll(aConnection, size.data() + event + "\r\n");
  }
  return open && SendAll(aConnection, "0\r\n\r\n");
}

void
Pay(Shared& aShared, Balancer& aBalancer, int aNumber)
{
  for (int count = 0; !aShared.ended; ++count) {
    const std::string requestId = "p" + std::to_string(aNumber) + "-" + std::to_string(count);
    const Gateway& gateway = aBalancer.Choose(static_cast<std::size_t>(aNumber + count));
    const std::int64_t sentAt = Now();
    const Answer answer = Call(
      gateway.Front(),
      "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: " + requestId +
        "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 3\r\n\r\npay",
      2'000);
    aShared.paid += answer.status == 200 ? 1 : 0;
    aShared.record.Write("client: " + requestId + " at " + gateway.Name() + " gets " +
                         (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
    const std::int64_t took = answer.endedAt - sentAt;
    if (answer.status == 0 && took < kBeforeTimeoutMs) {
      // The worker's line may be written after the end of the connection.
      Sleep(kPauseMs);
      const std::scoped_lock lock(aShared.mutex);
      const auto worker = aShared.workers.find(requestId);
      const auto stopped = aShared.stoppedAt.find(gateway.Name());
      if (worker != aShared.workers.end() && stopped != aShared.stoppedAt.end() &&
          sentAt >= stopped->second && sentAt - stopped->second <= kGraceMs) {
        ++aShared.lost;
        aShared.record.Write(
          "BROKEN: " + requestId + " was sent " + std::to_string(sentAt - stopped->second) +
          " ms after SIGTERM of " + gateway.Name() + ", which passed it on to " + worker->second +
          " and closed the connection without an answer after " + std::to_string(took) + " ms");
      }
    }
    Sleep(kPauseMs);
  }
}

void
ReadStreams(Shared& aShared, Balancer& aBalancer, int aNumber)
{
  for (int count = 0; !aShared.ended; ++count) {
    const std::string requestId = "s" + std::to_string(aNumber) + "-" + std::to_string(count);
    const Gateway& gateway = aBalancer.Choose(static_cast<std::size_t>(aNumber + count));
    const Answer answer =
      Call(gateway.Front(),
           "POST /note/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: " +
             requestId +
             "\r\nX-Deadline-Ms: 8000\r\nX-Model-Id: m\r\n"
             "X-Token-Usage: 100,20\r\nX-Prompt-Prefix: a1:60,b2:40\r\n"
             "Content-Length: 4\r\n\r\nbody",
           9'000);
    aShared.record.Write("client: " + requestId + " at " + gateway.Name() + " gets " +
                         std::to_string(answer.status) + (answer.complete ? "" : ", incomplete"));
    Sleep(kPauseMs);
  }
}

void
Restart(Shared& aShared, std::vector<std::unique_ptr<Gateway>>& aGateways, int aCycle)
{
  const std::int64_t end = Now() + kCycleMs;
  std::vector<Gateway*> stopping;
  for (int number = 0; HasTrouble() && number < 2; ++number) {
    Gateway& gateway = *aGateways[static_cast<std::size_t>(aCycle + number) % aGateways.size()];
    {
      const std::scoped_lock lock(aShared.mutex);
      aShared.stoppedAt[gateway.Name()] = Now();
    }
    aShared.record.Write("platform: SIGTERM to " + gateway.Name());
    gateway.Signal(SIGTERM);
    stopping.push_back(&gateway);
    Sleep(kGapMs);
  }
  while (Now() < end) {
    std::erase_if(stopping, [&](Gateway* aGateway) {
      const bool ended = aGateway->HasEnded();
      if (ended) {
        aShared.record.Write("platform: " + aGateway->Name() + " has ended and is started again");
        aGateway->Start();
      }
      return ended;
    });
    Sleep(10);
  }
}

int
Run(const std::string& aFolder, const std::string& aTemporary)
{
  Shared shared(aFolder + "/record.txt");
  shared.record.Write(HasTrouble() ? "with the restarts" : "without the restarts");
  Store store;
  json config = Configuration(7);
  for (json& route : config["routes"]) {
    route["timeoutMs"] = route["kind"] == "stream" ? 8'000 : 800;
  }
  store.Put("op/config", config.dump());
  std::vector<std::unique_ptr<DeskWorker>> workers;
  std::vector<std::unique_ptr<Engine>> engines;
  for (const std::string number : { "0", "1", "2" }) {
    workers.push_back(std::make_unique<DeskWorker>(store, shared, "desk-" + number));
    engines.push_back(std::make_unique<Engine>(
      store, shared.record, "read-" + number, "z1", "prefill", Engine::Spoil{}));
    engines.push_back(std::make_unique<Engine>(
      store, shared.record, "gen-" + number, "z1", "decode", StreamSlowly));
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string name : { "front-1", "front-2", "front-3" }) {
    gateways.push_back(
      std::make_unique<Gateway>(Gateway::Options{ name, "z1", store.Address(), aTemporary }));
  }
  if (!AwaitReady(gateways, 15'000)) {
    shared.record.Write("the system did not become ready");
    return kCouldNotRun;
  }
  Balancer balancer(shared, gateways);
  std::vector<std::thread> threads;
  threads.emplace_back([&] { balancer.Ask(); });
  for (int number = 0; number < kPayers; ++number) {
    threads.emplace_back([&, number] { Pay(shared, balancer, number); });
  }
  for (int number = 0; number < kReaders; ++number) {
    threads.emplace_back([&, number] { ReadStreams(shared, balancer, number); });
  }
  Sleep(5'000);
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    Restart(shared, gateways, cycle);
  }
  shared.ended = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  shared.record.Write(std::to_string(shared.paid.load()) + " payments were answered with 200; " +
                      std::to_string(shared.lost.load()) + " were passed on and never answered");
  return shared.lost > 0 ? kBroken : (shared.paid > 0 ? kHeld : kCouldNotRun);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int result = Run(aArguments[1], aArguments[2]);
  std::cout << (result == kBroken ? "the rule was broken"
                : result == kHeld ? "held"
                                  : "not run")
            << "\n";
  return result;
}

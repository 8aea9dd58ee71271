// Case: a machine is cut off from the store for some seconds, and a second after that workers leave
// as the pages tell: their entries are removed, and they serve on for drainMs and a little longer.
// Usage: late_leaving FOLDER TEMPORARY, with record.txt in FOLDER.

#include "engines.hpp"

namespace {

using namespace rig; // NOLINT(google-build-using-namespace)

constexpr std::int64_t kDrainMs = 2'000;
constexpr std::int64_t kStableWindowMs = 3'000;
/// How much longer than drainMs a worker serves before it exits.
constexpr std::int64_t kLittleLongerMs = 200;
constexpr int kWorkMs = 60;
constexpr int kWorkers = 4;
constexpr int kCycles = 8;
constexpr int kCutMs = 1'550;
/// From the end of the cut until a worker leaves. The machine is in touch when drainMs are over.
constexpr std::int64_t kLeaveAfterMs = 1'050;

/// @brief A sound plain worker.
class DeskWorker
{
public:
  DeskWorker(Store& aStore, Record& aRecord, std::string aId, std::string aZone)
    : store(aStore)
    , record(aRecord)
    , id(std::move(aId))
    , server([this](int aConnection, const Message& aRequest) {
      return this->Serve(aConnection, aRequest);
    })
  {
    json entry = Entry("desk", this->server.Address(), aZone, "");
    entry["slots"] = kSlots;
    this->store.Put("servers/" + this->id, entry.dump());
    this->record.Write(this->id + ": registered");
  }

  const std::string& Id() const { return this->id; }

  /// @brief Leaves without a report: only its entry is removed.
  void Leave()
  {
    this->leftAt = this->store.Remove("servers/" + this->id);
    this->record.Write(this->id + ": the store has acknowledged that its entry is removed");
  }

  /// @brief Time since the worker left; negative before.
  std::int64_t SinceLeft() const { return this->leftAt < 0 ? -1 : Now() - this->leftAt; }

  void Exit()
  {
    this->record.Write(this->id + ": exits");
    this->server.Close(true);
  }

  /// @brief Requests that arrived more than drainMs after the worker left, with their times.
  std::map<std::string, std::int64_t> LateRequests()
  {
    const std::scoped_lock lock(this->mutex);
    return this->late;
  }

private:
  static constexpr int kSlots = 64;

  bool Serve(int aConnection, const Message& aRequest)
  {
    const std::string requestId = aRequest.Field("X-Request-Id");
    const std::string echoed = "X-Request-Id: " + requestId + "\r\n";
    if (aRequest.Field("X-Expect-Instance") != this->id) {
      return SendAll(aConnection, FormatAnswer(421, echoed + "X-Not-Run: 1\r\n", ""));
    }
    const std::int64_t since = this->SinceLeft();
    this->record.Write(
      this->id + ": runs " + requestId +
      (since < 0 ? "" : ", " + std::to_string(since) + " ms after its entry was removed"));
    if (since > kDrainMs) {
      const std::scoped_lock lock(this->mutex);
      this->late[requestId] = Now();
    }
    Sleep(kWorkMs);
    return SendAll(aConnection,
                   FormatAnswer(200,
                                echoed + "X-Response-Seal: seal-" + this->id + "\r\n",
                                "paid " + requestId));
  }

  Store& store;
  Record& record;
  std::string id;
  std::atomic<std::int64_t> leftAt = -1;
  std::mutex mutex;
  std::map<std::string, std::int64_t> late;
  Server server;
};

/// @brief Clients that pay at one machine, each payment once.
class Payers
{
public:
  Payers(Record& aRecord, const Gateway& aGateway, int aCount)
    : record(aRecord)
    , gateway(aGateway)
  {
    for (int number = 0; number < aCount; ++number) {
      this->threads.emplace_back([this, number] { this->Pay(number); });
    }
  }
  ~Payers()
  {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }
  Payers(const Payers&) = delete;
  Payers& operator=(const Payers&) = delete;

  int StatusOf(const std::string& aRequestId)
  {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->statuses.find(aRequestId);
    return found == this->statuses.end() ? -1 : found->second;
  }

private:
  void Pay(int aNumber)
  {
    constexpr int kPauseMs = 20;
    for (int count = 0; !this->stopping; ++count) {
      const std::string requestId =
        this->gateway.Name() + "-" + std::to_string(aNumber) + "-" + std::to_string(count);
      const Answer answer =
        Call(this->gateway.Front(),
             "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: " +
               requestId + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 3\r\n\r\npay",
             2'000);
      this->record.Write("client: " + requestId + " gets " + std::to_string(answer.status) + " " +
                         answer.head.Field("X-Response-Seal"));
      {
        const std::scoped_lock lock(this->mutex);
        this->statuses[requestId] = answer.status;
      }
      Sleep(kPauseMs);
    }
  }

  Record& record;
  const Gateway& gateway;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::vector<std::thread> threads;
};

int
Run(const std::string& aFolder, const std::string& aTemporary)
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Store store;
  store.Put("op/config", Configuration(7).dump());
  Path path(store.Address());
  const std::array<std::string, 3> zones = { "z1", "z2", "z3" };
  std::vector<std::unique_ptr<DeskWorker>> workers;
  const auto addWorker = [&] {
    const std::size_t number = workers.size();
    workers.push_back(std::make_unique<DeskWorker>(
      store, record, "desk-" + std::to_string(number), zones[number % zones.size()]));
  };
  for (int number = 0; number < kWorkers; ++number) {
    addWorker();
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string& zone : zones) {
    const Endpoint& address = zone == "z1" ? path.Address() : store.Address();
    gateways.push_back(
      std::make_unique<Gateway>(Gateway::Options{ "front-" + zone, zone, address, aTemporary }));
  }
  if (!AwaitReady(gateways, 15'000)) {
    record.Write("the system did not become ready");
    return kCouldNotRun;
  }
  constexpr int kManyPayers = 10;
  Payers payers(record, *gateways[0], kManyPayers);
  Payers others(record, *gateways[1], 1);
  int late = 0;
  int lost = 0;
  std::size_t next = 0;
  Sleep(2'000);
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    if (trouble) {
      record.Write("the path from front-z1 to the store is cut");
      path.Cut();
    }
    Sleep(kCutMs);
    if (trouble) {
      path.Open();
      record.Write("the path from front-z1 to the store is whole again");
    }
    const std::int64_t healedAt = Now();
    constexpr int kBeforeMs = 30;
    Sleep(static_cast<int>(kLeaveAfterMs) - kBeforeMs);
    addWorker();
    Sleep(static_cast<int>(healedAt + kLeaveAfterMs - Now()));
    DeskWorker& leaving = *workers[next++];
    leaving.Leave();
    while (leaving.SinceLeft() < kDrainMs + kLittleLongerMs) {
      Sleep(1);
    }
    leaving.Exit();
    Sleep(500);
    for (const auto& [requestId, at] : leaving.LateRequests()) {
      if (!requestId.starts_with(gateways[0]->Name()) || at < healedAt + kStableWindowMs) {
        continue;
      }
      const int status = payers.StatusOf(requestId);
      ++late;
      lost += status == 200 ? 0 : 1;
      record.Write(
        "BROKEN: " + requestId + " reached " + leaving.Id() + " at " + std::to_string(at) +
        ", more than " + std::to_string(kDrainMs) +
        " ms after its entry was removed, from front-z1, which has been in touch since " +
        std::to_string(healedAt + kStableWindowMs) + "; its client got " + std::to_string(status));
    }
    Sleep(1'000);
  }
  record.Write(std::to_string(late) + " payments reached a worker too late; " +
               std::to_string(lost) + " of them were lost when it exited");
  return late > 0 ? kBroken : kHeld;
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

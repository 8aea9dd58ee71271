// Case 11: another writer's large entries, which can't be read, keep all instances from learning
// that a worker leaves.
#include "stand_in.hpp"

using namespace review; // NOLINT(google-build-using-namespace)

namespace {

const std::vector<std::string> kZones = { "sokcho", "gangneung", "samcheok" };
/// Bound of the small deployments.
constexpr long kDrainMs = 2'000;
/// Requests that are so little later than the bound aren't judged.
constexpr long kSlackMs = 200;
/// The worker serves on for drainMs and a little longer, and then exits.
constexpr long kServeOnMs = 3'500;
/// Largest value that the store takes (`valueBytes`), and how many entries there are of it.
constexpr std::size_t kValueBytes = 1'048'576;
constexpr int kEntries = 4;
/// Time from these entries to the worker's leaving.
constexpr long kBeforeDrainMs = 4'000;
constexpr long kWorkMs = 15;
constexpr int kCallersPerInstance = 4;
constexpr long kPauseMs = 120;

/// @brief What was received late, and what was run.
struct Outcomes
{
  std::mutex mutex;
  std::map<std::string, int> answered;
  std::map<std::string, long> late;
};

/// @brief A plain worker that records a fee; a sound one.
class Desk
{
public:
  Desk(std::string aId, std::string aZone, Record& aRecord, Outcomes& aOutcomes)
    : id(std::move(aId))
    , zone(std::move(aZone))
    , record(aRecord)
    , outcomes(aOutcomes)
    , server([this](Connection& aConnection) { this->Serve(aConnection); })
  {
  }

  const std::string& Id() const { return this->id; }

  std::string Entry(const std::string& aState) const
  {
    return json{
      { "service", "desk" },  { "address", this->server.Address() },
      { "zone", this->zone }, { "version", "v1" },
      { "slots", 6 },         { "state", aState },
      { "sequence", 4 },      { "coldRemainingMs", 0 },
      { "born", this->born }
    }.dump();
  }

  void SetLeaving(SteadyTime aAcknowledged)
  {
    this->leavingSince = aAcknowledged;
    this->isLeaving = true;
  }

  void Exit()
  {
    this->hasExited = true;
    this->server.Stop();
  }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, false) && !this->hasExited) {
      if (!this->Answer(aConnection, request)) {
        return;
      }
    }
  }

  void RecordArrival(const std::string& aRequest)
  {
    std::string text = this->id + " runs " + aRequest;
    const std::scoped_lock lock(this->outcomes.mutex);
    if (this->isLeaving) {
      const long since = Elapsed(this->leavingSince, std::chrono::steady_clock::now());
      text += ", " + std::to_string(since) + " ms after its leaving was acknowledged";
      if (since > kDrainMs + kSlackMs) {
        this->outcomes.late[aRequest] = since;
        text += ": DRAIN";
      }
    }
    this->record.Write(text);
  }

  // Returns whether the connection is kept.
  bool Answer(Connection& aConnection, const Message& aRequest)
  {
    const std::string request = aRequest.Header("X-Request-Id");
    const std::string expected = aRequest.Header("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      return aConnection.Send(FormatResponse(421, { { "X-Instance-Id", this->id } }, ""));
    }
    if (request.empty()) {
      return aConnection.Send(FormatResponse(400, { { "X-Not-Run", "1" } }, ""));
    }
    this->RecordArrival(request);
    Sleep(kWorkMs);
    if (this->hasExited) {
      return false;
    }
    return aConnection.Send(
      FormatResponse(200,
                     { { "X-Request-Id", request }, { "X-Response-Seal", "seal." + request } },
                     "recorded " + request));
  }

  std::string id;
  std::string zone;
  Record& record;
  Outcomes& outcomes;
  std::uint64_t born = UnixMilliseconds();
  std::atomic<bool> isLeaving = false;
  std::atomic<bool> hasExited = false;
  SteadyTime leavingSince;
  Server server;
};

json
Configuration()
{
  return { { "version", 7 },
           { "routes",
             json::array({ { { "name", "r-commit" },
                             { "host", "desk.example" },
                             { "prefix", "/commit/" },
                             { "kind", "unsafe" },
                             { "timeoutMs", 800 },
                             { "targetLatencyMs", 100 },
                             { "priority", 2 },
                             { "service", "desk" },
                             { "attempts", 1 },
                             { "sessionAffinity", false } } }) },
           { "services",
             json::array({ { { "name", "desk" },
                             { "healthPath", "/health" },
                             { "maxConnections", 110 },
                             { "protocol", "h1" },
                             { "tls", false } } }) },
           { "limits",
             { { "maxHeaderBytes", 16'384 },
               { "maxBodyBytes", 4'194'304 },
               { "headerTimeoutMs", 3'000 },
               { "idleTimeoutMs", 15'000 } } } };
}

// Sends requests one after the other on a kept connection.
void
CallAgain(std::uint16_t aPort,
          const std::string& aName,
          const std::atomic<bool>& aStop,
          Record& aRecord,
          Outcomes& aOutcomes)
{
  std::unique_ptr<Connection> connection;
  for (int number = 0; !aStop; ++number) {
    const std::string id = aName + "-" + std::to_string(number);
    if (connection == nullptr) {
      connection = Connection::Open(aPort);
    }
    aRecord.Write("caller sends " + id);
    Message response;
    const std::string body = "{\"fee\":1}";
    const bool answered =
      connection != nullptr &&
      connection->Send("POST /commit/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body) &&
      connection->Read(response, true);
    const int status = answered ? response.Status() : 0;
    aRecord.Write("caller of " + id + " gets " + std::to_string(status) + " " + response.body);
    if (status != 200) {
      connection.reset();
    }
    {
      const std::scoped_lock lock(aOutcomes.mutex);
      aOutcomes.answered[id] = status;
    }
    Sleep(kPauseMs);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  Record record(aArguments[2]);
  Outcomes outcomes;
  Store store;
  std::vector<std::unique_ptr<Desk>> desks;
  for (const std::string& zone : kZones) {
    desks.push_back(std::make_unique<Desk>("i-desk-" + zone, zone, record, outcomes));
    store.Put("servers/" + desks.back()->Id(), desks.back()->Entry("ready"));
  }
  store.Put("op/config", Configuration().dump());
  const Fleet fleet(store.Address(), aArguments[1], kZones);
  if (!fleet.AwaitReady()) {
    record.Write("the gateway is not ready");
    return 2;
  }
  Sleep(4'000);
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (std::size_t instance = 0; instance < kZones.size(); ++instance) {
    for (int caller = 0; caller < kCallersPerInstance; ++caller) {
      const std::string name = kZones.at(instance) + std::to_string(caller);
      callers.emplace_back([&, instance, name] {
        CallAgain(fleet.CallersPort(instance), name, stop, record, outcomes);
      });
    }
  }
  Sleep(1'000);
  if (!IsCalm()) {
    std::map<std::string, std::string> entries;
    for (int entry = 0; entry < kEntries; ++entry) {
      entries["servers/x-" + std::to_string(entry)] = std::string(kValueBytes, '\xff');
    }
    store.PutAll(entries);
    record.Write("another writer has written " + std::to_string(kEntries) + " entries of " +
                 std::to_string(kValueBytes) + " bytes that can't be read");
  }
  Sleep(kBeforeDrainMs);
  Desk& leaving = *desks.front();
  leaving.SetLeaving(store.Put("servers/" + leaving.Id(), leaving.Entry("draining")));
  record.Write("the store has acknowledged that " + leaving.Id() + " is draining");
  Sleep(kServeOnMs);
  leaving.Exit();
  store.Remove("servers/" + leaving.Id());
  record.Write(leaving.Id() + " has exited");
  Sleep(1'000);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::scoped_lock lock(outcomes.mutex);
  int served = 0;
  for (const auto& [id, status] : outcomes.answered) {
    served += status == 200 ? 1 : 0;
  }
  record.Write(std::to_string(outcomes.answered.size()) + " requests, " + std::to_string(served) +
               " served, " + std::to_string(outcomes.late.size()) + " reached " + leaving.Id() +
               " more than " + std::to_string(kDrainMs + kSlackMs) +
               " ms after its leaving was acknowledged");
  fleet.Stop();
  // The stand-ins' threads still run.
  std::_Exit(!outcomes.late.empty() ? 1 : (served > 0 ? 0 : 2));
}

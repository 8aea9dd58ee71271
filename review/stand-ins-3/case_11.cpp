// Case 11: a worker hands out a second copy of an answer, late. The copy is taken for the response
// to a question of the gateway's own, and the response to that question for the one to a caller.
#include "stand_in.hpp"

#include <cmath>
#include <set>

using namespace review; // NOLINT(google-build-using-namespace)

namespace {

/// Zones of a small deployment; the callers are in the first one.
const std::vector<std::string> kZones = { "sokcho", "gangneung", "samcheok" };
constexpr int kRounds = 24;
/// One of so many rounds has an answer with a second copy: 6 of 240 answers.
constexpr int kRoundsPerCopy = 4;
/// Work of a request, and of a request that is refused for want of an id; the site's longest is
/// 110.
constexpr long kShortWorkMs = 10;
constexpr long kMeanWorkMs = 40;
constexpr long kLongWorkMs = 60;
constexpr long kRefusalMs = 100;

/// @brief What the workers have run and the callers have received, by request id.
struct Outcomes
{
  std::mutex mutex;
  std::set<std::string> ran;
  std::map<std::string, int> answered;
};

/// @brief A plain worker that records a fee. Sound, but for second copies of a few answers.
class Desk
{
public:
  Desk(std::string aId, Record& aRecord, Outcomes& aOutcomes)
    : id(std::move(aId))
    , record(aRecord)
    , outcomes(aOutcomes)
    , server([this](Connection& aConnection) { this->Serve(aConnection); })
  {
  }

  std::string Entry(const std::string& aZone) const
  {
    return json{
      { "service", "desk" }, { "address", this->server.Address() },
      { "zone", aZone },     { "version", "v1" },
      { "slots", 6 },        { "state", "ready" },
      { "sequence", 4 },     { "coldRemainingMs", 0 },
      { "born", this->born }
    }.dump();
  }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    std::string copy;
    while (aConnection.Read(request, false)) {
      if (!copy.empty()) {
        this->record.Write(this->id + " sends the second copy of an earlier answer");
        aConnection.Send(std::exchange(copy, ""));
      }
      if (!this->Answer(aConnection, request, copy)) {
        return;
      }
    }
  }

  // Returns whether the connection is kept.
  bool Answer(Connection& aConnection, const Message& aRequest, std::string& aCopy)
  {
    const std::string request = aRequest.Header("X-Request-Id");
    const std::string expected = aRequest.Header("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      return aConnection.Send(FormatResponse(421, { { "X-Instance-Id", this->id } }, ""));
    }
    if (request.empty()) {
      Sleep(kRefusalMs);
      this->record.Write(this->id + " answers 400, not run: " + aRequest.startLine +
                         " has no X-Request-Id");
      return aConnection.Send(FormatResponse(400, { { "X-Not-Run", "1" } }, ""));
    }
    {
      const std::scoped_lock lock(this->outcomes.mutex);
      this->outcomes.ran.insert(request);
    }
    this->record.Write(this->id + " runs " + request);
    const char name = request.at(request.find('-') + 1);
    const bool isLong = name == 'd';
    Sleep(isLong ? kLongWorkMs : (name < 'd' ? kShortWorkMs : kMeanWorkMs));
    const std::vector<std::pair<std::string, std::string>> headers = {
      { "X-Request-Id", request }, { "X-Response-Seal", "seal." + request }
    };
    const std::string body = "recorded " + request;
    if (isLong) {
      // An answer may have no length and end with its connection.
      std::string head = "HTTP/1.1 200 OK\r\n";
      for (const auto& [name, value] : headers) {
        head.append(name).append(": ").append(value).append("\r\n");
      }
      aConnection.Send(head + "Connection: close\r\n\r\n" + body);
      return false;
    }
    const std::string response = FormatResponse(200, headers, body);
    if (request.find("-copied") != std::string::npos && !IsCalm()) {
      aCopy = response;
    }
    return aConnection.Send(response);
  }

  std::string id;
  Record& record;
  Outcomes& outcomes;
  std::uint64_t born = UnixMilliseconds();
  Server server;
};

// Sends a request once, and again under another id if the answer promises that it has not run.
void
Call(std::uint16_t aPort, const std::string& aId, Record& aRecord, Outcomes& aOutcomes)
{
  const auto connection = Connection::Open(aPort);
  Message response;
  const std::string body = "{\"fee\":1}";
  const bool answered =
    connection != nullptr &&
    connection->Send("POST /commit/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + aId +
                     "\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body) &&
    connection->Read(response, true);
  const int status = answered ? response.Status() : 0;
  aRecord.Write("caller of " + aId + " gets " + std::to_string(status) + " " +
                response.body.substr(0, 60));
  {
    const std::scoped_lock lock(aOutcomes.mutex);
    aOutcomes.answered[aId] = status;
  }
  if (status == 503 && aId.find("-again") == std::string::npos) {
    Sleep(std::lround(1'000.0 * std::stod("0" + response.Header("Retry-After"))));
    Call(aPort, aId + "-again", aRecord, aOutcomes);
  }
}

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

// Callers come in small groups: four at once, and six a little later.
void
SendRound(int aRound, std::uint16_t aPort, Record& aRecord, Outcomes& aOutcomes)
{
  const std::string round = "q" + std::to_string(aRound);
  const bool hasCopy = aRound % kRoundsPerCopy == kRoundsPerCopy - 1;
  const auto call = [&](const std::string& aId) { Call(aPort, aId, aRecord, aOutcomes); };
  std::vector<std::jthread> callers;
  for (const std::string name : { hasCopy ? "-a-copied" : "-a", "-b", "-c", "-d" }) {
    callers.emplace_back(call, round + name);
    Sleep(3);
  }
  Sleep(90);
  for (const std::string name : { "-e", "-f", "-g", "-h", "-i", "-j" }) {
    callers.emplace_back(call, round + name);
    Sleep(3);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  const std::string folder = aArguments[1];
  Record record(aArguments[2]);
  Outcomes outcomes;
  Store store;
  std::vector<std::unique_ptr<Desk>> desks;
  for (const std::string& zone : kZones) {
    const std::string id = "i-desk-" + zone;
    desks.push_back(std::make_unique<Desk>(id, record, outcomes));
    store.Put("servers/" + id, desks.back()->Entry(zone));
  }
  store.Put("op/config", Configuration().dump());
  const Fleet fleet(store.Address(), folder, kZones);
  if (!fleet.AwaitReady()) {
    record.Write("the gateway is not ready");
    return 2;
  }
  Sleep(4'000);
  record.Write(IsCalm() ? "calm: no second copies" : "garble (extra late) at the workers");
  for (int round = 0; round < kRounds; ++round) {
    SendRound(round, fleet.CallersPort(0), record, outcomes);
    Sleep(300);
  }
  Sleep(1'000);
  int refusedAndRan = 0;
  int served = 0;
  const std::scoped_lock lock(outcomes.mutex);
  for (const auto& [id, status] : outcomes.answered) {
    const bool promises = status == 503 || status == 429 || status == 408 || status == 421;
    served += status == 200 ? 1 : 0;
    if (promises && outcomes.ran.contains(id)) {
      ++refusedAndRan;
      const bool again = outcomes.ran.contains(id + "-again");
      record.Write("REFUSED: " + id + " was answered " + std::to_string(status) + " and has run" +
                   (again ? "; its caller sent it again, and it was recorded twice" : ""));
    }
  }
  record.Write(std::to_string(outcomes.answered.size()) + " requests, " + std::to_string(served) +
               " served, " + std::to_string(refusedAndRan) + " refused that have run");
  const bool couldRun = served >= static_cast<int>(outcomes.answered.size()) / 2;
  fleet.Stop();
  // The stand-ins' threads still run.
  std::_Exit(refusedAndRan > 0 ? 1 : (couldRun ? 0 : 2));
}

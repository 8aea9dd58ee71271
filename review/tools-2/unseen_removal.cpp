// All machines are killed at once and started again within 0.3 s of each other; meanwhile a worker
// that never reports `draining` leaves: its entry is removed, and it goes on serving for a time.
#include "standins.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>

using namespace review; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t kDrainMs = 2'000;
constexpr std::int64_t kStableWindowMs = 3'000;
/// Time that the judgement leaves for a request on its way, beyond the rule's bound.
constexpr std::int64_t kSlackMs = 200;
/// How long the worker goes on serving after its entry was removed.
constexpr std::int64_t kServesOnMs = 8'000;
constexpr std::int64_t kWorkMs = 15;

struct Sent
{
  std::string machine;
  std::string id;
  CallResult result;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  signal(SIGPIPE, SIG_IGN);
  if (aCount != 3) {
    return 2;
  }
  Recorder recorder(aArguments[1]);
  const std::string folder = aArguments[2];
  const bool trouble = HasTrouble();
  recorder.Line(std::string("TROUBLE=") + (trouble ? "1" : "0"));
  const std::vector<std::string> zones = { "sokcho", "gangneung", "samcheok" };

  Store store(recorder);
  std::vector<std::unique_ptr<Worker>> workers;
  for (const std::string& zone : zones) {
    workers.push_back(
      std::make_unique<Worker>(recorder, "i-desk-" + zone, "entry-desk", zone, kWorkMs));
    store.Put("servers/" + workers.back()->Id(), workers.back()->Entry());
  }
  store.Put("op/config", DeskConfig(7));
  Worker& leaving = *workers.front();

  std::vector<std::unique_ptr<Machine>> machines;
  for (const std::string& zone : zones) {
    for (int number = 1; number <= 3; ++number) {
      machines.push_back(std::make_unique<Machine>(recorder,
                                                   folder,
                                                   "front-" + zone + "-" + std::to_string(number),
                                                   zone,
                                                   zones,
                                                   store.Address()));
    }
  }
  for (const auto& machine : machines) {
    machine->Start();
  }
  const auto allReady = [&] {
    return std::all_of(machines.begin(), machines.end(), [](const auto& aMachine) {
      return aMachine->Readiness() == 200;
    });
  };
  if (!Await(15'000, allReady)) {
    recorder.Line("could not run: not all machines are ready");
    return 2;
  }

  std::atomic<bool> stop{ false };
  std::mutex sentMutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (const auto& machine : machines) {
    clients.emplace_back([&, name = machine->Name(), port = machine->FrontPort()] {
      for (int number = 0; !stop; ++number) {
        const bool isCommit = number % 2 == 0;
        const std::string id = name + "." + std::to_string(number);
        const CallResult result = Call(port,
                                       isCommit ? "POST" : "GET",
                                       "desk.example",
                                       isCommit ? "/commit/a" : "/status/a",
                                       id,
                                       isCommit ? "entry" : "",
                                       1'500);
        {
          const std::scoped_lock lock(sentMutex);
          sent.push_back({ name, id, result });
        }
        SleepMs(150);
      }
    });
  }
  SleepMs(5'000);

  std::atomic<std::int64_t> removedAt{ 0 };
  const auto remove = [&] {
    const std::uint64_t revision = store.Remove("servers/" + leaving.Id());
    removedAt = NowMs();
    recorder.Line("store acknowledges that the entry of " + leaving.Id() +
                  " is removed, revision " + std::to_string(revision));
  };
  std::int64_t calmSince = 0;
  if (trouble) {
    recorder.Line("SIGKILL to all machines");
    for (const auto& machine : machines) {
      machine->Signal(SIGKILL);
    }
    for (const auto& machine : machines) {
      machine->Kill();
    }
    SleepMs(500);
    // One machine of each zone starts first, 0.2 s before the others.
    const std::size_t before = store.Lists("servers/");
    for (const std::size_t first : { 2U, 5U, 8U }) {
      machines[first]->Start();
    }
    const std::int64_t firstStart = NowMs();
    if (!Await(200, [&] { return store.Lists("servers/") >= before + 3; })) {
      recorder.Line("could not run: the first machines were slow to start");
      stop = true;
      for (std::thread& client : clients) {
        client.join();
      }
      return 2;
    }
    remove();
    SleepUntil(firstStart + 200);
    for (std::size_t index = 0; index < machines.size(); ++index) {
      if (index % 3 != 2) {
        machines[index]->Start();
      }
    }
    recorder.Line("all machines run again, " + std::to_string(NowMs() - firstStart) +
                  " ms after the first start");
    calmSince = NowMs();
  } else {
    SleepMs(700);
    remove();
    calmSince = NowMs();
  }
  SleepUntil(removedAt + kServesOnMs);
  recorder.Line(leaving.Id() + " ends");
  leaving.End();
  SleepMs(2'000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  // In touch: calm for the whole stable window before the request.
  const std::int64_t judgedFrom =
    std::max(removedAt + kDrainMs, calmSince + kStableWindowMs) + kSlackMs;
  recorder.Line("judged: requests that were sent and arrived at " + leaving.Id() + " from " +
                std::to_string(judgedFrom) + " ms on");
  std::map<std::string, Sent> byId;
  std::map<std::string, std::map<int, int>> statuses;
  for (const Sent& each : sent) {
    byId[each.id] = each;
    ++statuses[each.machine][each.result.status];
  }
  for (const auto& [machine, counts] : statuses) {
    std::string text = machine + " answers:";
    for (const auto& [status, count] : counts) {
      text += " " + std::to_string(status) + " x " + std::to_string(count);
    }
    recorder.Line(text);
  }
  int late = 0;
  int served = 0;
  std::map<std::string, int> lateBy;
  for (const Arrival& arrival : leaving.Arrivals()) {
    const auto request = byId.find(arrival.id);
    if (arrival.refused || request == byId.end()) {
      continue;
    }
    ++served;
    if (arrival.at >= judgedFrom && request->second.result.sentAt >= judgedFrom) {
      ++late;
      ++lateBy[request->second.machine];
      recorder.Line(arrival.at,
                    "late: " + arrival.method + " " + arrival.target + " " + arrival.id + " at " +
                      arrival.worker + ", " + std::to_string(arrival.at - removedAt) +
                      " ms after the acknowledgement; client got " +
                      std::to_string(request->second.result.status));
    }
  }
  for (const auto& [machine, count] : lateBy) {
    recorder.Line(machine + ": " + std::to_string(count) + " late requests");
  }
  recorder.Line("requests at " + leaving.Id() + ": " + std::to_string(served) +
                ", late: " + std::to_string(late));
  recorder.Line(late > 0 ? "RULE BROKEN: DRAIN" : "rule held");
  return late > 0 ? 1 : 0;
}

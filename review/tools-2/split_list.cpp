// One machine is killed and started again. While it reads the list of workers, which has two pages,
// a worker on the first page leaves, and then the entry of one on the second page changes.
#include "standins.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace review; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t kDrainMs = 2'000;
constexpr std::int64_t kStableWindowMs = 3'000;
/// Time that the judgement leaves for a request on its way, beyond the rule's bound.
constexpr std::int64_t kSlackMs = 200;
/// How long the worker goes on serving after its entry was removed.
constexpr std::int64_t kServesOnMs = 8'000;
constexpr std::int64_t kWorkMs = 15;
/// Items of a page, as in the site files.
constexpr std::size_t kPageItems = 50;
constexpr int kModelWorkers = 60;

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
  store.SetPageSize(kPageItems);
  // Ids order the list: the worker that leaves is on the first page, the others of its service and
  // the one whose entry changes on the second.
  Worker leaving(recorder, "i-00a1", "entry-desk", zones[0], kWorkMs);
  Worker other(recorder, "i-f0b2", "entry-desk", zones[1], kWorkMs);
  Worker third(recorder, "i-f0c3", "entry-desk", zones[2], kWorkMs);
  Worker cold(recorder, "i-f0d4", "judge-llm", zones[1], kWorkMs);
  std::vector<std::unique_ptr<Worker>> models;
  for (int number = 0; number < kModelWorkers; ++number) {
    models.push_back(std::make_unique<Worker>(recorder,
                                              "i-1" + std::to_string(100 + number),
                                              "judge-llm",
                                              zones[static_cast<std::size_t>(number) % 3],
                                              kWorkMs));
    store.Put("servers/" + models.back()->Id(), models.back()->Entry());
  }
  for (const Worker* const worker : { &leaving, &other, &third }) {
    store.Put("servers/" + worker->Id(), worker->Entry());
  }
  store.Put("servers/" + cold.Id(), cold.Entry("ready", 1'200));
  store.Put("op/config", DeskConfig(7));

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
  if (!Await(15'000, [&] {
        return std::all_of(machines.begin(), machines.end(), [](const auto& aMachine) {
          return aMachine->Readiness() == 200;
        });
      })) {
    recorder.Line("could not run: not all machines are ready");
    return 2;
  }
  Machine& restarted = *machines[2];

  std::atomic<bool> stop{ false };
  std::mutex sentMutex;
  std::map<std::string, CallResult> sent;
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
          sent[id] = result;
        }
        SleepMs(150);
      }
    });
  }
  SleepMs(5'000);

  std::atomic<std::int64_t> removedAt{ 0 };
  const auto change = [&] {
    const std::uint64_t removal = store.Remove("servers/" + leaving.Id());
    const std::int64_t at = NowMs();
    const std::uint64_t warm = store.Put("servers/" + cold.Id(), cold.Entry());
    recorder.Line(at,
                  "store acknowledges that the entry of " + leaving.Id() +
                    " is removed, revision " + std::to_string(removal) + "; then " + cold.Id() +
                    " writes that it is no longer cold, revision " + std::to_string(warm));
    removedAt = at;
  };
  std::int64_t calmSince = 0;
  if (trouble) {
    store.OnList([&](const std::string& aPrefix, const std::string& aAfter) {
      if (aPrefix == "servers/") {
        recorder.Line("store has answered a page of " + aPrefix + " after '" + aAfter + "'");
      }
      if (aPrefix == "servers/" && aAfter.empty() && removedAt == 0) {
        change();
      }
    });
    recorder.Line("SIGKILL to " + restarted.Name());
    restarted.Kill();
    SleepMs(500);
    restarted.Start();
    calmSince = NowMs();
    if (!Await(3'000, [&] { return removedAt > 0; })) {
      recorder.Line("could not run: no list was read");
      stop = true;
      for (std::thread& client : clients) {
        client.join();
      }
      return 2;
    }
  } else {
    change();
    calmSince = removedAt;
  }
  SleepUntil(removedAt + kServesOnMs);
  recorder.Line(leaving.Id() + " ends");
  leaving.End();
  SleepMs(1'000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  store.OnList({});

  const std::int64_t judgedFrom =
    std::max(removedAt + kDrainMs, calmSince + kStableWindowMs) + kSlackMs;
  recorder.Line("judged: requests that were sent and arrived at " + leaving.Id() + " from " +
                std::to_string(judgedFrom) + " ms on");
  int late = 0;
  int served = 0;
  std::map<std::string, int> lateBy;
  for (const Arrival& arrival : leaving.Arrivals()) {
    const auto request = sent.find(arrival.id);
    if (arrival.refused || request == sent.end()) {
      continue;
    }
    ++served;
    if (arrival.at >= judgedFrom && request->second.sentAt >= judgedFrom) {
      ++late;
      ++lateBy[arrival.id.substr(0, arrival.id.find('.'))];
      recorder.Line(arrival.at,
                    "late: " + arrival.method + " " + arrival.target + " " + arrival.id + " at " +
                      arrival.worker + ", " + std::to_string(arrival.at - removedAt) +
                      " ms after the acknowledgement; client got " +
                      std::to_string(request->second.status));
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

// All machines but one are killed at the same moment and started again; meanwhile a worker that
// never reports `draining` leaves. The machine that was not killed has an undisturbed store all the
// while.
#include "standins.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace review; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t kDrainMs = 2'000;
/// Time that the judgement leaves for a request on its way, beyond the rule's bound.
constexpr std::int64_t kSlackMs = 200;
/// How long the worker goes on serving after its entry was removed.
constexpr std::int64_t kServesOnMs = 6'000;
constexpr std::int64_t kWorkMs = 15;
const std::string kInstances = "plantainslip/instances/";

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
  if (!Await(15'000, [&] {
        return std::all_of(machines.begin(), machines.end(), [](const auto& aMachine) {
          return aMachine->Readiness() == 200;
        });
      })) {
    recorder.Line("could not run: not all machines are ready");
    return 2;
  }
  Machine& survivor = *machines[2];

  std::atomic<bool> stop{ false };
  std::mutex sentMutex;
  std::map<std::string, CallResult> sent;
  std::thread client([&] {
    for (int number = 0; !stop; ++number) {
      const bool isCommit = number % 2 == 0;
      const std::string id = survivor.Name() + "." + std::to_string(number);
      const CallResult result = Call(survivor.FrontPort(),
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
      SleepMs(40);
    }
  });
  SleepMs(6'000);

  std::int64_t removedAt = 0;
  const auto remove = [&] {
    const std::uint64_t revision = store.Remove("servers/" + leaving.Id());
    removedAt = NowMs();
    recorder.Line("store acknowledges that the entry of " + leaving.Id() +
                  " is removed, revision " + std::to_string(revision));
  };
  if (trouble) {
    // Two machines of each zone renew their entries once a second. They are killed late in that
    // second: 0.9 s after the last of them has.
    const auto latest = [&] {
      std::int64_t at = 0;
      for (const auto& [key, time] : store.RenewedAt(kInstances)) {
        at = key.back() == '3' ? at : std::max(at, time);
      }
      return at;
    };
    if (!Await(10'000, [&] {
          const std::int64_t age = NowMs() - latest();
          return age >= 900 && age < 960;
        })) {
      recorder.Line("could not run: the machines renew their entries at all times");
      stop = true;
      client.join();
      return 2;
    }
    recorder.Line("SIGKILL to all machines but " + survivor.Name() + ", " +
                  std::to_string(NowMs() - latest()) + " ms after the last renewal of an entry");
    for (const auto& machine : machines) {
      if (machine.get() != &survivor) {
        machine->Signal(SIGKILL);
      }
    }
    const std::int64_t killedAt = NowMs();
    for (const auto& machine : machines) {
      if (machine.get() != &survivor) {
        machine->Kill();
      }
    }
    remove();
    SleepUntil(killedAt + 500);
    for (const auto& machine : machines) {
      if (machine.get() != &survivor) {
        machine->Start();
      }
    }
  } else {
    remove();
  }
  SleepUntil(removedAt + kServesOnMs);
  recorder.Line(leaving.Id() + " ends");
  leaving.End();
  SleepMs(1'000);
  stop = true;
  client.join();
  if (survivor.HasEnded()) {
    recorder.Line("could not run: " + survivor.Name() + " has ended");
    return 2;
  }

  const std::int64_t judgedFrom = removedAt + kDrainMs + kSlackMs;
  recorder.Line("judged: requests that were sent to " + survivor.Name() + " and arrived at " +
                leaving.Id() + " from " + std::to_string(judgedFrom) + " ms on");
  std::map<int, int> statuses;
  for (const auto& [id, result] : sent) {
    ++statuses[result.status];
  }
  for (const auto& [status, count] : statuses) {
    recorder.Line(survivor.Name() + " answered " + std::to_string(status) + " x " +
                  std::to_string(count));
  }
  int late = 0;
  int served = 0;
  std::int64_t last = 0;
  for (const Arrival& arrival : leaving.Arrivals()) {
    const auto request = sent.find(arrival.id);
    if (arrival.refused || request == sent.end()) {
      continue;
    }
    ++served;
    last = arrival.at;
    if (arrival.at >= judgedFrom && request->second.sentAt >= judgedFrom) {
      ++late;
      recorder.Line(arrival.at,
                    "late: " + arrival.method + " " + arrival.target + " " + arrival.id + " at " +
                      arrival.worker + ", " + std::to_string(arrival.at - removedAt) +
                      " ms after the acknowledgement; client got " +
                      std::to_string(request->second.status));
    }
  }
  recorder.Line("requests at " + leaving.Id() + ": " + std::to_string(served) + ", the last " +
                std::to_string(last - removedAt) +
                " ms after the acknowledgement; late: " + std::to_string(late));
  recorder.Line(late > 0 ? "RULE BROKEN: DRAIN" : "rule held");
  return late > 0 ? 1 : 0;
}

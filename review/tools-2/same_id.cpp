// A worker of a plain service is cut off while it gives an answer without a length, crashes behind
// the cut in the middle of it, and starts again under the id that it had. In the last rounds there
// is no cut, but the machine that waits for the answer freezes meanwhile.
#include "standins.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace review; // NOLINT(google-build-using-namespace)

namespace {

constexpr int kCutRounds = 6;
constexpr int kFreezeRounds = 3;
constexpr std::int64_t kRestartAfterMs = 300;
/// How long a cut or a freeze lasts.
constexpr std::int64_t kTroubleMs = 900;
const std::string kWholeBody = std::string(400, 'a') + std::string(400, 'b');

/// The worker's link: passes bytes and the ends of connections on, and holds them while it is cut.
class Link
{
public:
  explicit Link(int aWorkerPort)
    : workerPort(aWorkerPort)
    , server([this](Socket& aSocket) { this->Serve(aSocket); })
  {
  }

  int Port() const { return this->server.Port(); }

  void Cut(bool aCut)
  {
    const std::scoped_lock lock(this->mutex);
    this->cut = aCut;
    this->changed.notify_all();
  }

private:
  void AwaitOpen()
  {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return !this->cut; });
  }

  void Pass(Socket& aFrom, Socket& aTo)
  {
    char bytes[16'384];
    while (true) {
      const ssize_t count = recv(aFrom.Descriptor(), bytes, sizeof(bytes), 0);
      this->AwaitOpen();
      if (count < 0) {
        const linger reset{ 1, 0 };
        setsockopt(aTo.Descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      }
      if (count <= 0) {
        shutdown(aTo.Descriptor(), count == 0 ? SHUT_WR : SHUT_RDWR);
        return;
      }
      if (!aTo.Send(std::string(bytes, static_cast<std::size_t>(count)))) {
        shutdown(aFrom.Descriptor(), SHUT_RDWR);
        return;
      }
    }
  }

  void Serve(Socket& aCaller)
  {
    this->AwaitOpen();
    const auto worker = Connect("127.0.0.1", this->workerPort, 60'000);
    if (!worker->Open()) {
      aCaller.Reset();
      return;
    }
    std::thread back([&] { this->Pass(*worker, aCaller); });
    this->Pass(aCaller, *worker);
    back.join();
  }

  int workerPort;
  std::mutex mutex;
  std::condition_variable changed;
  bool cut = false;
  Server server;
};

/// A worker's process, which starts again at the same address under the same id.
class WorkerProcess
{
public:
  WorkerProcess(Recorder& aRecorder, std::string aId, int aPort)
    : recorder(aRecorder)
    , id(std::move(aId))
    , port(aPort)
  {
  }
  ~WorkerProcess() { this->Kill(); }
  WorkerProcess(const WorkerProcess&) = delete;
  WorkerProcess& operator=(const WorkerProcess&) = delete;

  bool Start()
  {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
      return false;
    }
    const std::string program = "target/review-2/plain_worker";
    const std::string portText = std::to_string(this->port);
    this->process = fork();
    if (this->process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(ends[1], STDOUT_FILENO);
      execl(program.c_str(), program.c_str(), portText.c_str(), this->id.c_str(), nullptr);
      _exit(127);
    }
    close(ends[1]);
    this->output = ends[0];
    this->text.clear();
    this->born = UnixMs();
    return this->NextLine() == "listens";
  }

  /// Returns the next line that the process prints; empty at its end, or if none comes in time.
  std::string NextLine()
  {
    constexpr int kWaitMs = 3'000;
    std::size_t end = this->text.find('\n');
    while (end == std::string::npos) {
      pollfd waiting{ this->output, POLLIN, 0 };
      char bytes[256];
      const bool isReadable = this->output >= 0 && poll(&waiting, 1, kWaitMs) > 0;
      const ssize_t count = isReadable ? read(this->output, bytes, sizeof(bytes)) : 0;
      if (count <= 0) {
        return "";
      }
      this->text.append(bytes, static_cast<std::size_t>(count));
      end = this->text.find('\n');
    }
    const std::string line = this->text.substr(0, end);
    this->text.erase(0, end + 1);
    this->recorder.Line(this->id + ": " + line);
    return line;
  }

  void Kill()
  {
    if (this->process > 0) {
      kill(this->process, SIGKILL);
      waitpid(this->process, nullptr, 0);
      this->process = 0;
      // What it printed before its end.
      while (!this->NextLine().empty()) {
      }
      close(this->output);
      this->output = -1;
    }
  }

  /// @param aPort  where it is reached
  std::string Entry(int aPort) const
  {
    return json{
      { "service", "entry-desk" },
      { "address", "127.0.0.1:" + std::to_string(aPort) },
      { "zone", "sokcho" },
      { "version", "v1" },
      { "slots", 6 },
      { "state", "ready" },
      { "coldRemainingMs", 0 },
      { "born", this->born },
      { "sequence", 0 }
    }.dump();
  }

private:
  Recorder& recorder;
  std::string id;
  int port;
  pid_t process = 0;
  int output = -1;
  std::string text;
  std::int64_t born = 0;
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
  const bool trouble = HasTrouble();
  recorder.Line(std::string("TROUBLE=") + (trouble ? "1" : "0"));

  Store store(recorder);
  const std::string id = "i-5c1e07a2";
  const int workerPort = FreePort();
  WorkerProcess worker(recorder, id, workerPort);
  Link link(workerPort);
  if (!worker.Start()) {
    recorder.Line("could not run: the worker does not listen");
    return 2;
  }
  store.Put("servers/" + id, worker.Entry(link.Port()));
  // One worker of three is cut off, and one machine of nine freezes.
  const std::vector<std::string> zones = { "sokcho", "gangneung", "samcheok" };
  Worker second(recorder, "i-91bd3f06", "entry-desk", zones[1], 15);
  Worker third(recorder, "i-e4402b7d", "entry-desk", zones[2], 15);
  store.Put("servers/" + second.Id(), second.Entry());
  store.Put("servers/" + third.Id(), third.Entry());
  store.Put("op/config", DeskConfig(7));
  std::vector<std::unique_ptr<Machine>> machines;
  for (const std::string& zone : zones) {
    for (int number = 1; number <= 3; ++number) {
      machines.push_back(std::make_unique<Machine>(recorder,
                                                   aArguments[2],
                                                   "front-" + zone + "-" + std::to_string(number),
                                                   zone,
                                                   zones,
                                                   store.Address()));
      machines.back()->Start();
    }
  }
  Machine& machine = *machines.front();
  if (!Await(15'000, [&] {
        return std::all_of(machines.begin(), machines.end(), [](const auto& aMachine) {
          return aMachine->Readiness() == 200;
        });
      })) {
    recorder.Line("could not run: not all machines are ready");
    return 2;
  }
  SleepMs(2'000);

  int wrong = 0;
  int whole = 0;
  for (int round = 0; round < kCutRounds + kFreezeRounds; ++round) {
    const bool cuts = round < kCutRounds;
    const std::string requestId = "r" + std::to_string(round);
    CallResult result;
    std::thread client([&] {
      result =
        Call(machine.FrontPort(), "POST", "desk.example", "/commit/a", requestId, "entry", 1'500);
    });
    const bool runs = worker.NextLine() == "run " + requestId;
    if (runs && trouble) {
      SleepMs(20);
      const std::int64_t since = NowMs();
      if (cuts) {
        link.Cut(true);
        recorder.Line("the link of " + id + " is cut");
      } else {
        machine.Signal(SIGSTOP);
        recorder.Line(machine.Name() + " freezes");
      }
      SleepMs(10);
      recorder.Line(id + " is killed in the middle of its answer to " + requestId);
      worker.Kill();
      SleepMs(kRestartAfterMs);
      const bool restarted = worker.Start();
      if (restarted) {
        recorder.Line(id + " has started again under its id");
        store.Put("servers/" + id, worker.Entry(link.Port()));
        SleepUntil(since + kTroubleMs);
      }
      if (cuts) {
        link.Cut(false);
        recorder.Line("the link of " + id + " is healed");
      } else {
        machine.Signal(SIGCONT);
        recorder.Line(machine.Name() + " wakes");
      }
      if (!restarted) {
        recorder.Line("could not run: the worker does not listen");
        client.join();
        return 2;
      }
    } else if (runs) {
      worker.NextLine();
    }
    client.join();
    if (!runs) {
      recorder.Line("could not run: the worker did not get " + requestId);
      return 2;
    }
    const bool isSuccess = result.status >= 200 && result.status < 300;
    const bool isOthers =
      result.body == "answer of " + second.Id() || result.body == "answer of " + third.Id();
    const bool isWrong = isSuccess && result.body != kWholeBody && !isOthers;
    wrong += isWrong ? 1 : 0;
    whole += isSuccess && !isWrong ? 1 : 0;
    recorder.Line("POST /commit/a " + requestId + ": client got " + std::to_string(result.status) +
                  (result.sealed ? " with" : " without") + " a seal, complete body of " +
                  std::to_string(result.body.size()) + " bytes of " +
                  std::to_string(kWholeBody.size()) + (isWrong ? ": NOT THE WHOLE BODY" : ""));
    SleepMs(1'500);
  }
  recorder.Line("successes with the whole body: " + std::to_string(whole) +
                ", without: " + std::to_string(wrong));
  recorder.Line(wrong > 0 ? "RULE BROKEN: MIXED" : "rule held");
  return wrong > 0 ? 1 : 0;
}

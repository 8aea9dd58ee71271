#include "child_process.hpp"

#include <array>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace plantainslip::harness {

namespace {

constexpr std::chrono::seconds kPatience(30);
constexpr std::chrono::milliseconds kPollInterval(5);
constexpr int kSignalExitBase = 128;

} // namespace

struct ChildProcess::Shared
{
  std::mutex mutex;
  std::condition_variable grown;
  std::string output;
  bool ended = false;
  std::thread reader;
};

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           bool aListens)
  : shared(std::make_shared<Shared>())
{
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
  // An inherited listening socket of a fake would accept connections after the fake has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const std::string path = std::string(PLANTAINSLIP_BINARY_FOLDER) + "/" + aProgram;
  std::vector<std::string> texts = aArguments;
  texts.insert(texts.begin(), path);
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  const int failure =
    posix_spawn(&this->pid, path.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (failure != 0) {
    close(ends[0]);
    throw std::runtime_error("cannot start " + path);
  }
  this->shared->reader = std::thread([this, pipe = ends[0]] { this->ReadOutput(pipe); });
  if (aListens) {
    this->AwaitAddress();
  }
}

ChildProcess::~ChildProcess()
{
  if (!this->exited) {
    this->Signal(SIGKILL);
    this->WaitForExit();
  }
  this->shared->reader.join();
}

void
ChildProcess::ReadOutput(int aPipe)
{
  std::array<char, 4096> buffer{};
  ssize_t got = 0;
  while ((got = read(aPipe, buffer.data(), buffer.size())) > 0) {
    const std::scoped_lock lock(this->shared->mutex);
    this->shared->output.append(buffer.data(), static_cast<std::size_t>(got));
    this->shared->grown.notify_all();
  }
  close(aPipe);
  const std::scoped_lock lock(this->shared->mutex);
  this->shared->ended = true;
  this->shared->grown.notify_all();
}

void
ChildProcess::AwaitAddress()
{
  const std::string host = "127.0.0.1:";
  std::unique_lock lock(this->shared->mutex);
  const auto printed = [&] {
    const std::size_t listening = this->shared->output.find("listening");
    const std::size_t at = this->shared->output.find(host, listening);
    const bool found = listening != std::string::npos && at != std::string::npos &&
                       this->shared->output.find('\n', at) != std::string::npos;
    if (found) {
      const std::string port = this->shared->output.substr(at + host.size(), 6);
      this->address = { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)) };
    }
    return found || this->shared->ended;
  };
  this->shared->grown.wait_for(lock, kPatience, printed);
  const bool listens = this->address.port != 0;
  lock.unlock();
  if (!listens) {
    this->Signal(SIGKILL);
    this->WaitForExit();
    this->shared->reader.join();
    throw std::runtime_error("does not listen: " + this->shared->output);
  }
}

net::Address
ChildProcess::PeerAddress() const
{
  const std::string mark = "\"peer_address\":\"";
  const std::string output = this->Output();
  const std::size_t at = output.find(mark);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + mark.size();
  return net::Address::Parse(output.substr(begin, output.find('"', begin) - begin))
    .value_or(net::Address{});
}

void
ChildProcess::Signal(int aSignal) const
{
  kill(this->pid, aSignal);
}

void
ChildProcess::AwaitStopped() const
{
  int status = 0;
  if (waitpid(this->pid, &status, WUNTRACED) != this->pid || !WIFSTOPPED(status)) {
    throw std::runtime_error("the process ended instead of stopping: " + this->Output());
  }
}

bool
ChildProcess::IsRunning()
{
  siginfo_t ended{};
  return !this->exited &&
         ::waitid(P_PID, static_cast<id_t>(this->pid), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         ended.si_pid == 0;
}

int
ChildProcess::WaitForExit()
{
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->exited = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
}

void
ChildProcess::AwaitOutputEnd() const
{
  std::unique_lock lock(this->shared->mutex);
  this->shared->grown.wait_for(lock, kPatience, [&] { return this->shared->ended; });
}

std::string
ChildProcess::Output() const
{
  const std::scoped_lock lock(this->shared->mutex);
  return this->shared->output;
}

void
Await(const std::string& aWhat, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("gave up waiting until " + aWhat);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace plantainslip::harness

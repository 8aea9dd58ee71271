#include "stop_signal.hpp"

#include <csignal>
#include <ctime>

namespace plantainslip::apps {

namespace {

constexpr int kMillisecondsASecond = 1000;
constexpr long kNanosecondsAMillisecond = 1'000'000;

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void
BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
}

void
WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

bool
WaitForStopSignal(int aMilliseconds)
{
  const sigset_t signals = StopSignals();
  timespec wait{};
  wait.tv_sec = aMilliseconds / kMillisecondsASecond;
  wait.tv_nsec = (aMilliseconds % kMillisecondsASecond) * kNanosecondsAMillisecond;
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

} // namespace plantainslip::apps

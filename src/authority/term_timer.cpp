#include <plantainslip/authority/term_timer.hpp>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>

#include <plantainslip/authority/errors.hpp>
#include <plantainslip/core/log.hpp>

namespace plantainslip::authority {

namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

timespec
ToTimespec(nanoseconds aTime)
{
  const auto wholeSeconds = std::chrono::duration_cast<seconds>(aTime);
  timespec converted{};
  converted.tv_sec = wholeSeconds.count();
  converted.tv_nsec = (aTime - wholeSeconds).count();
  return converted;
}

nanoseconds
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return seconds(now.tv_sec) + nanoseconds(now.tv_nsec);
}

class PosixTermTimer final : public TermTimer
{
public:
  PosixTermTimer(const core::Clock& aClock, timer_t aTimer)
    : clock(aClock)
    , timer(aTimer)
  {
  }

  ~PosixTermTimer() override { timer_delete(this->timer); }

  void Arm(core::MonotonicTime aDeadline) override
  {
    // Read the boot time first: a pause between the two readings can only make the deadline
    // earlier.
    const nanoseconds bootTime = BootTime();
    const nanoseconds remaining = aDeadline - this->clock.Now();
    // Zero would disarm the timer; one nanosecond after boot has passed, so the timer expires at
    // once.
    this->Set(std::max(bootTime + remaining, nanoseconds(1)));
  }

  void Disarm() override { this->Set(nanoseconds(0)); }

private:
  void Set(nanoseconds aEnd)
  {
    itimerspec setting{};
    setting.it_value = ToTimespec(aEnd);
    if (timer_settime(this->timer, TIMER_ABSTIME, &setting, nullptr) != 0) {
      // Without the timer nothing stops the process from sending an order after its lease has
      // ended.
      core::Log(core::LogLevel::kError,
                "setting the lease term timer failed",
                { { "problem", strerror(errno) } });
      std::raise(SIGKILL);
    }
  }

  const core::Clock& clock;
  timer_t timer;
};

} // namespace

absl::StatusOr<std::unique_ptr<TermTimer>>
TermTimer::Create(const core::Clock& aClock)
{
  // The default action of SIGALRM kills the process. The parent may have left the signal ignored or
  // blocked, so restore the default action and unblock it.
  sigset_t alarmSignal;
  sigemptyset(&alarmSignal);
  sigaddset(&alarmSignal, SIGALRM);
  std::signal(SIGALRM, SIG_DFL);
  pthread_sigmask(SIG_UNBLOCK, &alarmSignal, nullptr);
  sigevent event{};
  event.sigev_notify = SIGEV_SIGNAL;
  event.sigev_signo = SIGALRM;
  timer_t timer{};
  if (timer_create(CLOCK_BOOTTIME, &event, &timer) != 0) {
    return core::MakeError(errors::kNoTermTimer, strerror(errno));
  }
  return std::make_unique<PosixTermTimer>(aClock, timer);
}

} // namespace plantainslip::authority

#include <doctest/doctest.h>

#include <map>
#include <thread>

#include "fakes/platform_calls.hpp"
#include "harness/wire_fleet.hpp"

using namespace plantainslip;
using namespace std::chrono_literals;
using fakes::ReceivedCall;

namespace {

constexpr auto kLease = 3'000ms;

// Three control threads as processes, the store and the platform's address.
struct DutyFleet
{
  DutyFleet()
    : thread([this] { this->context.run(); })
  {
    this->fleet.Store().ExpireLeases();
    this->fleet.Configure(1);
    for (const std::string name : { "x", "y", "z" }) {
      this->instances[name] = std::make_unique<harness::ChildProcess>(
        "tests/duty-instance",
        std::vector<std::string>{
          name, this->fleet.Store().Address().Text(), this->platform.Address().Text() },
        false);
    }
  }

  ~DutyFleet()
  {
    this->instances.clear();
    serving::asio::post(this->context, [this] { this->platform.Close(); });
    this->work.reset();
  }

  // Waits for a further call, by another holder if one is given, and returns its holder.
  std::string AwaitCall(const std::string& aNotBy = "")
  {
    const std::size_t before = this->platform.Calls().size();
    std::string holder;
    harness::Await("a call", [&] {
      const std::vector<ReceivedCall> calls = this->platform.Calls();
      if (calls.size() > before && calls.back().holder != aNotBy) {
        holder = calls.back().holder;
      }
      return !holder.empty();
    });
    return holder;
  }

  // Rules for calls where the platform checks nothing.
  void CheckRules() const
  {
    std::map<std::uint64_t, std::string> holders;
    const std::vector<ReceivedCall> calls = this->platform.Calls();
    for (std::size_t index = 0; index < calls.size(); ++index) {
      const ReceivedCall& call = calls[index];
      CHECK(holders.emplace(call.token, call.holder).first->second == call.holder);
      if (index == 0) {
        continue;
      }
      CHECK(call.token >= calls[index - 1].token);
      bool otherSeen = false;
      for (std::size_t back = index; back-- > 0 && call.at - calls[back].at < kLease;) {
        otherSeen = otherSeen || calls[back].holder != call.holder;
        CHECK_FALSE((otherSeen && calls[back].holder == call.holder));
      }
    }
  }

  harness::WireFleet fleet;
  serving::asio::io_context context{ 1 };
  serving::asio::executor_work_guard<serving::asio::io_context::executor_type> work{
    serving::asio::make_work_guard(this->context)
  };
  fakes::PlatformCallsFake platform{ this->context };
  std::map<std::string, std::unique_ptr<harness::ChildProcess>> instances;
  std::jthread thread;
};

} // namespace

TEST_CASE("duties: a frozen and a killed holder are replaced, and tokens only grow")
{
  DutyFleet duties;
  const std::string first = duties.AwaitCall();
  duties.instances.at(first)->Signal(SIGSTOP);
  const std::string second = duties.AwaitCall(first);
  duties.instances.at(first)->Signal(SIGCONT);
  duties.AwaitCall();
  duties.AwaitCall();
  duties.instances.erase(second);
  duties.AwaitCall(second);
  duties.CheckRules();
}

TEST_CASE("duties: calls go on after the store was silent and was restored from an older copy")
{
  DutyFleet duties;
  duties.AwaitCall();
  const fakes::WireStore::Copy copy = duties.fleet.Store().MakeCopy();
  duties.fleet.Store().SetMode(fakes::WireStore::Mode::kSilent);
  // Answers of held calls are late, and are carried out late.
  std::this_thread::sleep_for(kLease);
  duties.fleet.Store().SetMode(fakes::WireStore::Mode::kAvailable);
  duties.AwaitCall();
  duties.fleet.Store().Restore(copy);
  const std::uint64_t before = duties.platform.Calls().back().token;
  harness::Await("a call with a later token",
                 [&] { return duties.platform.Calls().back().token > before; });
  duties.CheckRules();
}

TEST_CASE("duties: a holder whose calls all fail leaves the lease to another instance")
{
  DutyFleet duties;
  const std::string first = duties.AwaitCall();
  duties.platform.FailCallsOf(first);
  duties.AwaitCall(first);
  duties.CheckRules();
}

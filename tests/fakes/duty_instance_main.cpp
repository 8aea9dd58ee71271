// One instance's control thread with a duty that calls the platform whenever it may; for tests that
// freeze, kill and cut off holders of the fleet's lease.
#include <iostream>

#include "control.hpp"
#include "directory_wire.hpp"
#include "duty_wire.hpp"
#include "store_wire.hpp"
#include "target_wire.hpp"

namespace plantainslip {

namespace {

class CountingDuty final : public serving::Duty
{
public:
  serving::Task<void> Perform(serving::DutyCalls& aCalls, serving::DutyInput) override
  {
    std::string duty = "usage_report";
    std::string subject = "windows";
    serving::PlatformCall call{ "/usage", "{\"window\":" + std::to_string(this->count) + "}" };
    const auto outcome = co_await aCalls.Call(std::move(duty), std::move(subject), std::move(call));
    // A call without an answer is repeated; another one is not sent before it can no longer run.
    this->count += outcome == serving::CallOutcome::kDone ? 1 : 0;
  }

private:
  int count = 0;
};

} // namespace

} // namespace plantainslip

int
main(int aCount, char** aArguments)
{
  using namespace plantainslip;
  const std::vector<std::string> arguments(aArguments, aArguments + aCount);
  const auto store = net::Address::Parse(arguments.at(2));
  const auto platform = net::Address::Parse(arguments.at(3));
  if (!store.ok() || !platform.ok()) {
    std::cerr << "usage: duty-instance NAME STORE PLATFORM\n";
    return 1;
  }
  serving::asio::io_context context{ 1 };
  const core::SystemClock clock;
  serving::ConnectionPool pool{ context.get_executor(), {}, clock };
  wire::StoreWire storeWire{ *store, pool };
  const wire::DirectoryWire directoryWire;
  const wire::TargetWire targetWire;
  const wire::DutyWire dutyWire;
  serving::PathMetrics metrics;
  serving::ControlOptions options;
  options.self = { core::InstanceId(arguments.at(1)), { "127.0.0.1", 0 }, core::ZoneId("a") };
  options.platformCalls = serving::PlatformCallOptions{ *platform, 50.0 };
  serving::Control control(context,
                           storeWire,
                           directoryWire,
                           targetWire,
                           pool,
                           clock,
                           options,
                           [](const serving::ControlUpdate&) {});
  control.EnableCalls(dutyWire, metrics);
  control.AddDuty(std::make_unique<CountingDuty>());
  if (!control.Start().ok()) {
    return 1;
  }
  context.run();
  return 0;
}

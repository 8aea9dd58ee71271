// Slopes of an entry instance's control work: what one event costs at growing sizes of the fleet.
//
// Seedless: the inputs are the same in every run.

#include <chrono>
#include <cstdio>

#include <sys/resource.h>

#include <nlohmann/json.hpp>

#include <plantainslip/config/configuration.hpp>
#include <plantainslip/control/report_exchange.hpp>
#include <plantainslip/control/view_builder.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kRepetitions = 50;

double
CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosecondsASecond = 1e6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
           kMicrosecondsASecond;
}

template<typename Work>
double
MicrosecondsOf(Work aWork)
{
  const double begun = CpuSeconds();
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    aWork();
  }
  constexpr double kMicrosecondsASecond = 1e6;
  return (CpuSeconds() - begun) * kMicrosecondsASecond / kRepetitions;
}

std::vector<platform::ListedInstance>
MakeList(int aEntries, int aEngines)
{
  std::vector<platform::ListedInstance> list;
  for (int number = 0; number < aEntries + aEngines; ++number) {
    platform::ListedInstance line;
    line.kind = number < aEntries ? platform::ListedKind::kEntry : platform::ListedKind::kEngine;
    line.name = "instance-" + std::to_string(number);
    line.zone = core::ZoneId("zone-" + std::to_string(number % 7));
    line.address = { "10.0.0.1", 7100 };
    list.push_back(std::move(line));
  }
  return list;
}

std::string
MakeDocument(int aTargets)
{
  json document = { { "deployments", json::object() }, { "targets", json::object() } };
  for (int model = 0; model < 33; ++model) {
    document["deployments"]["model-" + std::to_string(model)] = { { "model", "m" },
                                                                  { "version", "1" } };
  }
  for (int target = 0; target < aTargets; ++target) {
    document["targets"]["instance-" + std::to_string(target)] = {
      { "deployment", "model-" + std::to_string(target % 33) }, { "role", "auto" }
    };
  }
  return document.dump();
}

void
MeasureView(int aEntries, int aEngines)
{
  control::ViewBuilder builder;
  builder.SetList(MakeList(aEntries, aEngines));
  const std::string document = MakeDocument(aEngines);
  const double parse = MicrosecondsOf([&] {
    if (!config::ParseConfiguration(core::ConfigVersion(1), document).ok()) {
      std::printf("the document cannot be read\n");
    }
  });
  builder.AdoptConfiguration(std::make_shared<const config::Configuration>(
    *config::ParseConfiguration(core::ConfigVersion(1), document)));
  const double build = MicrosecondsOf([&] { (void)builder.Build(); });
  std::printf("%8d %8d %14.1f %16.1f %12zu\n", aEntries, aEngines, build, parse, document.size());
}

void
MeasureExchange(int aEngines)
{
  control::ReportExchange exchange(core::InstanceId("entry-0"), {});
  std::vector<core::TargetId> engines;
  engines.reserve(static_cast<std::size_t>(aEngines));
  for (int engine = 0; engine < aEngines; ++engine) {
    engines.emplace_back("engine-" + std::to_string(engine));
  }
  exchange.SetFleet({}, engines);
  const core::MonotonicTime now;
  for (const core::TargetId& engine : engines) {
    exchange.SetPolledReport(engine, targets::EngineReport(), now);
  }
  const std::string message = control::FormatLoadRecords(exchange.MakeRecords(now));
  const double make =
    MicrosecondsOf([&] { (void)control::FormatLoadRecords(exchange.MakeRecords(now)); });
  const double take =
    MicrosecondsOf([&] { exchange.MergeRecords(*control::ParseLoadRecords(message), now); });
  std::printf("%8d %10zu %12.1f %12.1f\n", aEngines, message.size(), make, take);
}

} // namespace

int
main()
{
  std::printf("view of the fleet, processor time of one event in microseconds\n");
  std::printf(
    "%8s %8s %14s %16s %12s\n", "entries", "engines", "build view", "read document", "bytes");
  MeasureView(9, 20);
  MeasureView(59, 86);
  MeasureView(205, 300);
  MeasureView(410, 600);
  std::printf("\nload records of one message, processor time in microseconds\n");
  std::printf("%8s %10s %12s %12s\n", "engines", "bytes", "make", "take");
  for (const int engines : { 7, 20, 43, 86 }) {
    MeasureExchange(engines);
  }
  return 0;
}

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include <fakes/expected_answer.hpp>
#include <harness/history.hpp>
#include <harness/small_fleet.hpp>

#include <plantainslip/config/record.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

// Concurrent runs of the real processes; the checkers read only what callers, operators and targets
// saw.

namespace {

constexpr std::uint64_t kTokens = 60;
constexpr int kAnswersEach = 4;
constexpr int kCallers = 8;

json
Configuration(const std::string& aVersion)
{
  json targets;
  for (const char* engine : { "engine-1", "engine-2" }) {
    targets[engine] = { { "deployment", "reader" }, { "checks_fencing", true } };
  }
  return { { "deployments", { { "reader", { { "model", "m" }, { "version", aVersion } } } } },
           { "services", { { "payments", { { "repeatable", false } } } } },
           { "targets", targets } };
}

std::string
AnswerOf(const std::string& aVersion, const std::string& aPrompt)
{
  return fakes::ExpectedAnswer("m@" + aVersion, aPrompt, kTokens);
}

// While the version changes, an answer may be of either, but never of both.
std::string
NearestExpected(const harness::StreamedAnswer& aAnswer, const std::string& aPrompt)
{
  const std::string old = AnswerOf("1", aPrompt);
  return old.starts_with(aAnswer.text) ? old : AnswerOf("2", aPrompt);
}

std::optional<core::Outcome>
RefusalOf(const std::string& aRaw)
{
  for (const core::Outcome outcome :
       { core::Outcome::kNotRun, core::Outcome::kRan, core::Outcome::kUnknown }) {
    const std::string field = "\"outcome\":\"" + std::string(core::OutcomeName(outcome)) + "\"";
    if (aRaw.find(field) != std::string::npos) {
      return outcome;
    }
  }
  return std::nullopt;
}

void
AskAgainAndAgain(const harness::ChildProcess& aEntry,
                 const std::string& aCaller,
                 harness::History& aHistory)
{
  for (int number = 0; number < kAnswersEach; ++number) {
    const std::string prompt = aCaller + " asks " + std::to_string(number);
    const auto answer = harness::Complete(aEntry,
                                          { { "model", "reader" },
                                            { "prompt", prompt },
                                            { "max_tokens", kTokens },
                                            { "stream", true } });
    harness::AnswerEvent event;
    event.caller = prompt;
    event.expected = NearestExpected(answer, prompt);
    event.received = answer.text;
    event.whole = answer.whole;
    event.refusal = answer.whole ? std::nullopt : RefusalOf(answer.raw);
    // After the instance has ended nobody accepts a connection, which is no cut request.
    if (answer.status != 0) {
      aHistory.Add(event);
    }
  }
}

std::vector<std::thread>
StartCallers(const std::vector<harness::ChildProcess*>& aEntries, harness::History& aHistory)
{
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t number = 0; number < kCallers; ++number) {
    harness::ChildProcess* entry = aEntries[number % aEntries.size()];
    callers.emplace_back([entry, number, &aHistory] {
      AskAgainAndAgain(*entry, "caller-" + std::to_string(number), aHistory);
    });
  }
  return callers;
}

void
AwaitServing(const harness::ChildProcess& aEntry)
{
  harness::Await("engines serve", [&] {
    return harness::Complete(
             aEntry,
             { { "model", "reader" }, { "prompt", "p" }, { "max_tokens", 1 }, { "stream", true } })
      .whole;
  });
}

void
RecordOrders(const harness::ChildProcess& aEngine,
             const std::string& aName,
             harness::History& aHistory)
{
  const json orders = json::parse(harness::Send(aEngine, "GET", "/v1/orders").body);
  for (const json& order : orders) {
    aHistory.Add(harness::OrderEvent{
      aName, order.at("order"), order.at("token"), order.at("accepted"), order.at("running") });
  }
}

// A version 7 UUID made now: its first 48 bits are the time in milliseconds.
std::string
MakeKey(std::uint64_t aNumber)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::array<char, 40> text{};
  (void)std::snprintf(text.data(),
                      text.size(),
                      "%08llx-%04llx-7%03llx-8000-%012llx",
                      static_cast<unsigned long long>(now.count() >> 16),
                      static_cast<unsigned long long>(now.count() & 0xffff),
                      static_cast<unsigned long long>(aNumber % 0x1000),
                      static_cast<unsigned long long>(aNumber));
  return text.data();
}

harness::PaymentEvent
Pay(const harness::ChildProcess& aEntry, const std::string& aKey)
{
  const auto reply = harness::Send(
    aEntry, "POST", "/v1/services/payments/pay", { { "fee", 1 } }, { { "Idempotency-Key", aKey } });
  harness::PaymentEvent event;
  event.key = aKey;
  event.answered = reply.status == 200;
  event.refusal = event.answered ? std::nullopt : RefusalOf(reply.body);
  return event;
}

} // namespace

TEST_CASE("planned changes under load cut no request")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  fleet.AddController("entry-1", "a");
  auto& engine1 = fleet.AddEngine("engine-1", "a", { "--checks-fencing", "1" });
  auto& engine2 = fleet.AddEngine("engine-2", "a", { "--checks-fencing", "1" });
  REQUIRE(harness::SmallFleet::Patch(first, 0, Configuration("1")) == 200);
  AwaitServing(first);
  AwaitServing(second);
  harness::History history;
  std::vector<std::thread> callers = StartCallers({ &first, &second }, history);

  SUBCASE("an entry instance is stopped with SIGTERM")
  {
    first.Signal(SIGTERM);
    CHECK(first.WaitForExit() == 0);
  }
  SUBCASE("the deployment gets another version, so every engine is ordered to load it")
  {
    REQUIRE(harness::SmallFleet::Patch(second, 1, Configuration("2")) == 200);
    harness::Await("both engines have loaded the version", [&] {
      return harness::Send(engine1, "GET", "/v1/report").body.find("\"version\":\"2\"") !=
               std::string::npos &&
             harness::Send(engine2, "GET", "/v1/report").body.find("\"version\":\"2\"") !=
               std::string::npos;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  RecordOrders(engine1, "engine-1", history);
  RecordOrders(engine2, "engine-2", history);
  CHECK(harness::Describe(harness::CheckAnswers(history)) == "");
  CHECK(harness::Describe(harness::CheckNothingCut(history)) == "");
  CHECK(harness::Describe(harness::CheckOrders(history)) == "");
  CHECK(harness::Describe(harness::CheckAuthority(history)) == "");
}

TEST_CASE("payments with the same keys at two instances run at most once")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "a");
  auto& service = fleet.AddService("payments-1", "a", "payments");
  REQUIRE(harness::SmallFleet::Patch(first, 0, Configuration("1")) == 200);
  for (const harness::ChildProcess* entry : { &first, &second }) {
    harness::Await("payments can be made", [&, probe = std::uint64_t{ 1000 }]() mutable {
      return Pay(*entry, MakeKey(++probe)).answered;
    });
  }
  harness::History history;
  constexpr std::uint64_t kKeys = 30;
  std::vector<std::string> keys;
  for (std::uint64_t number = 0; number < kKeys; ++number) {
    keys.push_back(MakeKey(number));
  }
  std::atomic<std::uint64_t> paid = 0;
  const auto payAll = [&](const harness::ChildProcess& aEntry) {
    for (const std::string& key : keys) {
      history.Add(Pay(aEntry, key));
      ++paid;
    }
  };
  std::thread one([&] { payAll(first); });
  std::thread two([&] { payAll(second); });

  SUBCASE("while both live") {}
  SUBCASE("while one is killed")
  {
    harness::Await("some are paid", [&] { return paid > kKeys / 2; });
    first.Signal(SIGKILL);
  }
  SUBCASE("while the service does the work and its answers are lost")
  {
    harness::Await("some are paid", [&] { return paid > kKeys / 2; });
    harness::Send(service, "POST", "/v1/faults", { { "fail", "after" } });
  }
  one.join();
  two.join();
  history.runs =
    json::parse(harness::Send(service, "GET", "/v1/runs").body).get<std::map<std::string, int>>();
  CHECK(history.payments.size() == 2 * kKeys);
  CHECK(!history.runs.empty());
  CHECK(harness::Describe(harness::CheckAtMostOnce(history)) == "");
  CHECK(harness::Describe(harness::CheckNotRunIsTrue(history)) == "");
}

TEST_CASE("operators who race through several instances are told the truth during store outages")
{
  harness::SmallFleet fleet;
  auto& first = fleet.AddEntry("entry-1", "a");
  auto& second = fleet.AddEntry("entry-2", "b");
  harness::History history;
  const auto submit = [&](const harness::ChildProcess& aEntry, const std::string& aOperator) {
    const std::vector<net::Header> key = { { "Authorization",
                                             std::string("Bearer ") + harness::kOperatorKey } };
    for (int number = 0; number < 20; ++number) {
      const auto shown = harness::Send(aEntry, "GET", "/v1/operator/configuration", nullptr, key);
      const json record = json::parse(shown.body, nullptr, false);
      const std::string patch = aOperator + "-" + std::to_string(number);
      const json body = { { "patch", patch },
                          { "base", record.value("version", std::uint64_t{ 0 }) },
                          { "author", aOperator },
                          { "change", { { "weights", { { "goodput", number } } } } } };
      const auto told = harness::Send(aEntry, "POST", "/v1/operator/patches", body, key);
      harness::PatchEvent event;
      event.patch = patch;
      if (told.status == 200) {
        for (const json& entry : json::parse(told.body).at("history")) {
          if (entry.at("patch") == patch) {
            event.accepted = entry.at("version").get<std::uint64_t>();
          }
        }
      }
      event.refused = told.status != 200 && RefusalOf(told.body) == core::Outcome::kNotRun;
      history.Add(event);
    }
  };
  std::thread one([&] { submit(first, "operator-1"); });
  std::thread two([&] { submit(second, "operator-2"); });
  for (int outage = 0; outage < 5; ++outage) {
    harness::Send(fleet.Platform(), "POST", "/v1/faults", { { "down", true } });
    harness::Send(fleet.Platform(), "POST", "/v1/faults", { { "down", false } });
  }
  one.join();
  two.join();
  const auto shown =
    harness::Send(first,
                  "GET",
                  "/v1/operator/configuration",
                  nullptr,
                  { { "Authorization", std::string("Bearer ") + harness::kOperatorKey } });
  const auto record = config::ParseRecord(shown.body);
  REQUIRE(record.ok());
  for (const config::HistoryEntry& entry : record->history) {
    history.acceptedPatches[entry.patch.Text()] = entry.version.Number();
  }
  CHECK(history.patches.size() == 40);
  CHECK(harness::Describe(harness::CheckPatches(history)) == "");
}

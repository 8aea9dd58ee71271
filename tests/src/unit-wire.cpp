#include <doctest/doctest.h>

#include <plantainslip/serving/prefill_model.hpp>
#include <plantainslip/serving/target_notices.hpp>

#include "directory_wire.hpp"
#include "settings.hpp"
#include "target_wire.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const std::string kSettings = R"({
  "node": "one", "zone": "a", "ip": "10.0.0.1", "internalPorts": [7000, 7010], "heartbeatMs": 1200,
  "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
  "platform": {"address": "10.0.0.9:90"},
  "bounds": {"graceS": 8, "leaseMs": 3000, "budgetRatio": 0.2, "budgetSlack": 58},
  "somethingNew": {"x": 1}
})";

const std::string kConfig = R"({
  "version": 7,
  "routes": [
    {"name": "r", "host": "h.example", "prefix": "/s/", "kind": "stream", "timeoutMs": 8000,
     "targetLatencyMs": 300, "priority": 1, "service": "m", "attempts": 2,
     "sessionAffinity": true, "allowResume": true, "targetGapMs": 250},
    {"name": "q", "host": "h.example", "prefix": "/s/t/", "kind": "safe", "timeoutMs": 800,
     "targetLatencyMs": 100, "priority": 2, "attempts": 2,
     "trafficSplit": [{"service": "m", "weight": 90}, {"service": "p", "weight": 10}]}],
  "services": [
    {"name": "m", "maxConnections": 630, "engine": {"slots": 128, "kvTokens": 9,
     "tokenKvBytes": 35136, "handleTtlS": 5.0, "switchS": 3.0}},
    {"name": "p", "maxConnections": 110}],
  "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "headerTimeoutMs": 300,
             "idleTimeoutMs": 400}
})";

} // namespace

TEST_CASE("the settings parser names a missing field and ignores unknown ones")
{
  const auto settings = wire::ParseSettings(kSettings);
  REQUIRE(settings.ok());
  CHECK(settings->callers.port == 80);
  CHECK(settings->peers == net::Address{ "10.0.0.1", 7'000 });
  CHECK(settings->stopGracePeriod == 8s);
  CHECK(settings->orderLeaseDuration == 3s);
  for (const char* field : { "heartbeatMs",
                             "node",
                             "zone",
                             "ip",
                             "internalPorts",
                             "front",
                             "ready",
                             "address",
                             "graceS",
                             "leaseMs" }) {
    CAPTURE(field);
    std::string invalid = kSettings;
    const std::string quoted = "\"" + std::string(field) + "\"";
    invalid.replace(invalid.find(quoted), quoted.size(), "\"other\"");
    const auto read = wire::ParseSettings(invalid);
    REQUIRE_FALSE(read.ok());
    CHECK(std::string(read.status().message()).find(field) != std::string::npos);
  }
  CHECK_FALSE(wire::ParseSettings("[]").ok());
  CHECK_FALSE(wire::ParseSettings("{").ok());
}

TEST_CASE("a configuration is parsed into routes and services")
{
  const wire::DirectoryWire codec;
  const auto config = codec.ReadConfig(kConfig);
  REQUIRE(config.ok());
  CHECK(config->version.Number() == 7);
  CHECK(config->limits.idleTimeout == 400ms);
  SUBCASE("the route with the longest matching prefix of the host is found")
  {
    CHECK(FindRoute(*config, "h.example", "/s/x")->name == "r");
    CHECK(FindRoute(*config, "h.example", "/s/t/x?y=/z/")->name == "q");
    CHECK(FindRoute(*config, "other.example", "/s/x") == nullptr);
    CHECK(FindRoute(*config, "h.example", "/s") == nullptr);
  }
  SUBCASE("a traffic split follows the weights and is stable for a request id")
  {
    const Route* const route = FindRoute(*config, "h.example", "/s/t/x");
    int firstServiceCount = 0;
    for (int request = 0; request < 1'000; ++request) {
      const std::string id = std::to_string(request);
      const Service* const service = ChooseService(*config, *route, id);
      CHECK(service == ChooseService(*config, *route, id));
      firstServiceCount += service->name.Text() == "m" ? 1 : 0;
    }
    CHECK(firstServiceCount > 850);
    CHECK(firstServiceCount < 950);
  }
  SUBCASE("an invalid configuration is an error")
  {
    CHECK_FALSE(codec.ReadConfig("{").ok());
    CHECK_FALSE(codec.ReadConfig(R"({"version": "x", "routes": [], "services": []})").ok());
    CHECK_FALSE(codec.ReadConfig(R"({"version": 1, "routes": [{}], "services": []})").ok());
  }
}

TEST_CASE("a directory entry with an invalid field is rejected")
{
  const wire::DirectoryWire codec;
  const std::string valid =
    R"({"service": "m", "address": "10.0.0.2:8080", "zone": "a", "slots": 8, "state": "ready",
        "stage": "decode", "born": 12})";
  const auto target = codec.ReadTarget("servers/i-1", valid);
  REQUIRE(target.ok());
  CHECK(target->id == core::TargetId("i-1"));
  CHECK(target->stage == EngineStage::kDecode);
  CHECK(target->startedAt == 12);
  for (const auto& [from, to] : std::map<std::string, std::string>{ { "\"m\"", "1" },
                                                                    { "10.0.0.2:8080", "nowhere" },
                                                                    { "\"a\"", "null" },
                                                                    { "8,", "\"8\"," },
                                                                    { "\"ready\"", "\"odd\"" },
                                                                    { "{", "[" } }) {
    const std::string replaced = from;
    CAPTURE(replaced);
    std::string invalid = valid;
    invalid.replace(invalid.find(replaced), replaced.size(), to);
    CHECK_FALSE(codec.ReadTarget("servers/i-1", invalid).ok());
  }
}

TEST_CASE("header fields that only the system may set are reserved")
{
  const wire::TargetWire protocol;
  for (const char* name : { "X-Kv-Source",
                            "x-kv-hold",
                            "X-Pin-Ms",
                            "X-Kv-Backup",
                            "X-Serving-Stage",
                            "Kv-Fetch",
                            "X-Expect-Instance",
                            "X-Expect-Version",
                            "X-Request-Priority",
                            "X-Deadline-Ms" }) {
    CAPTURE(name);
    CHECK(protocol.IsReserved(name));
  }
  CHECK_FALSE(protocol.IsReserved("X-Request-Id"));
  CHECK_FALSE(protocol.IsReserved("Last-Event-Id"));
}

TEST_CASE("a caller's prompt and deadline headers are parsed and invalid values count as absent")
{
  const wire::TargetWire protocol;
  const HeaderList headers = { { "x-request-id", "r1" },
                               { "X-Model-Id", "m" },
                               { "X-Token-Usage", "1460,80" },
                               { "X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250" },
                               { "X-Deadline-Ms", "1500" } };
  const RequestInfo info = protocol.ReadRequest(headers);
  CHECK(info.id.Text() == "r1");
  CHECK(info.timeLeft == 1'500ms);
  REQUIRE(info.prompt.has_value());
  CHECK(info.prompt->promptTokens == 1'460);
  CHECK(SharedTokens(*info.prompt) == 1'210);
  CHECK(UnsharedTokens(*info.prompt) == 250);
  CHECK(SharedKey(*info.prompt) == 0x91bd3f06);
  const RequestInfo invalid = protocol.ReadRequest(
    { { "X-Model-Id", "m" }, { "X-Token-Usage", "many" }, { "X-Deadline-Ms", "-4" } });
  CHECK_FALSE(invalid.prompt.has_value());
  CHECK_FALSE(invalid.timeLeft.has_value());
}

TEST_CASE("an attempt's header fields describe its step, priority and deadline")
{
  const wire::TargetWire protocol;
  AttemptPlan plan;
  plan.step = AttemptStep::kDecode;
  plan.target = core::TargetId("i-1");
  plan.timeLeft = 900ms;
  plan.priority = 12;
  plan.handleAddress = { "10.0.0.2", 8080 };
  plan.handle = "abc";
  const HeaderList headers = protocol.AttemptHeaders(plan);
  CHECK(*FindHeader(headers, "X-Kv-Source") == "10.0.0.2:8080/abc");
  CHECK(*FindHeader(headers, "X-Request-Priority") == "9");
  CHECK(*FindHeader(headers, "X-Deadline-Ms") == "900");
  CHECK(*FindHeader(headers, "X-Expect-Instance") == "i-1");
  CHECK(FindHeader(headers, "X-Serving-Stage") == nullptr);
  CHECK(protocol.RetryAfter(250ms).value == "0.250");
}

TEST_CASE("a request counts as not run only if the target states it")
{
  const wire::TargetWire protocol;
  CHECK(protocol.ReadResponse(503, { { "X-Not-Run", "1" } }).notRun);
  CHECK(protocol.ReadResponse(421, {}).notRun);
  CHECK_FALSE(protocol.ReadResponse(503, {}).notRun);
  CHECK_FALSE(protocol.ReadResponse(500, {}).notRun);
}

TEST_CASE("a target's response may state that it is leaving or wants a pause")
{
  const wire::TargetWire protocol;
  CHECK(protocol.ReadResponse(200, { { "server-leaving", "1" } }).leaving);
  CHECK_FALSE(protocol.ReadResponse(200, { { "Server-Leaving", "0" } }).leaving);
  CHECK_FALSE(protocol.ReadResponse(200, {}).leaving);
  CHECK_FALSE(protocol.ReadResponse(421, { { "Server-Leaving", "1" } }).leaving);
  CHECK(protocol.ReadResponse(200, { { "Server-Limit", "9.5" } }).requestsPerSecond == 9.5);
  CHECK_FALSE(protocol.ReadResponse(200, { { "Server-Limit", "-1" } }).requestsPerSecond);
  CHECK_FALSE(protocol.ReadResponse(200, { { "Server-Limit", "nan" } }).requestsPerSecond);
  CHECK(protocol.ReadResponse(503, { { "Retry-After", "1.5" } }).retryAfter == 1'500ms);
  CHECK(protocol.ReadResponse(503, { { "Retry-After", "1e300" } }).retryAfter == 24h);
  CHECK_FALSE(protocol.ReadResponse(200, { { "Retry-After", "1.5" } }).retryAfter.has_value());
  for (const char* invalid : { "", "soon", "-1", "0", "nan" }) {
    CAPTURE(invalid);
    CHECK_FALSE(protocol.ReadResponse(503, { { "Retry-After", invalid } }).retryAfter.has_value());
  }
}

// Guards against a later process at a target's address that is taken for the target.
TEST_CASE("a target's report tells whether its process is still running")
{
  const wire::TargetWire protocol;
  Target target;
  target.id = core::TargetId("i-1");
  target.startedAt = 1'000;
  CHECK(protocol.ReportPath() == "/plantainslip/report");
  CHECK(protocol.ExpectedTarget(target.id).value == "i-1");
  CHECK(protocol.ReadStartTime(R"({"born":1000,"stage":"decode"})") == 1'000);
  for (const char* report : { "", "[]", "{}", R"({"born":"1000"})", R"({"born":-1})" }) {
    CAPTURE(report);
    CHECK_FALSE(protocol.ReadStartTime(report).has_value());
  }
  CHECK(IsRunning(target, 200, false, 1'000));
  CHECK_FALSE(IsRunning(target, 200, false, std::nullopt));
  CHECK_FALSE(IsRunning(target, 200, false, 2'000));
  for (const int status : { 404, 421, 429, 500, 503 }) {
    CAPTURE(status);
    CHECK_FALSE(IsRunning(target, status, true, std::nullopt));
    CHECK_FALSE(IsRunning(target, status, false, 1'000));
  }
  target.startedAt = 0;
  CHECK_FALSE(IsRunning(target, 200, false, 2'000));
}

// Guards against a plain service's whole answers that count as cut, as it has no report.
TEST_CASE("a plain service confirms that it is running by refusing the request for a report")
{
  Target target;
  target.startedAt = 1'000;
  CHECK(IsRunning(target, 400, true, std::nullopt));
  CHECK_FALSE(IsRunning(target, 400, false, std::nullopt));
  target.stage = EngineStage::kDecode;
  CHECK_FALSE(IsRunning(target, 400, true, std::nullopt));
}

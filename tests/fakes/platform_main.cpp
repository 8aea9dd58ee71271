// Fake platform: the key-value store, leases and the list of instances, by HTTP.
//
// A test orders faults with POST /v1/faults {"down": bool, "delay_ms": number}.

#include <atomic>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include <plantainslip/platform/errors.hpp>

#include "../../apps/common/stop_signal.hpp"
#include "fake_process.hpp"
#include "memory_store.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::size_t kLargestBodyBytes = 4'000'000;

json
ToJson(const platform::StoredValue& aStored)
{
  return { { "revision", aStored.revision.Number() }, { "value", aStored.value } };
}

class FakePlatform
{
public:
  FakePlatform()
    : store(this->clock)
  {
  }

  void Handle(net::HttpExchange& aExchange)
  {
    const std::string call = aExchange.Method() + " " + aExchange.Path();
    const auto body = aExchange.ReadBody(kLargestBodyBytes);
    const json text = body.ok() ? json::parse(*body, nullptr, false) : json();
    if (call == "POST /v1/faults") {
      this->SetFaults(aExchange, text);
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(this->delayMs));
    if (call == "GET /v1/kv") {
      this->Read(aExchange);
    } else if (call == "PUT /v1/kv") {
      this->Write(aExchange, text);
    } else if (call == "POST /v1/lease") {
      this->HandleLease(aExchange, text);
    } else if (aExchange.Path() == "/v1/instances") {
      this->HandleInstances(aExchange, text);
    } else if (call == "GET /v1/counts") {
      const json counts = { { "calls", this->store.Calls() }, { "writes", this->store.Writes() } };
      aExchange.Respond(kOk, "application/json", counts.dump());
    } else {
      aExchange.Respond(kNotFound, "text/plain", call);
    }
  }

private:
  static void Fail(net::HttpExchange& aExchange, const absl::Status& aStatus)
  {
    const bool conflict = core::IsError(aStatus, platform::errors::kRevisionConflict) ||
                          core::IsError(aStatus, platform::errors::kLeaseHeld);
    aExchange.Respond(conflict ? kConflict : kUnavailable, "text/plain", aStatus.message().data());
  }

  void SetFaults(net::HttpExchange& aExchange, const json& aText)
  {
    const bool isDown = aText.value("down", false);
    this->down = isDown;
    this->store.SetDown(isDown);
    this->delayMs = aText.value("delay_ms", 0);
    aExchange.Respond(kOk, "application/json", "{}");
  }

  void Read(net::HttpExchange& aExchange)
  {
    if (const auto prefix = aExchange.Query("prefix"); prefix.has_value()) {
      this->ListValues(aExchange, *prefix);
      return;
    }
    const std::string key = aExchange.Query("key").value_or("");
    const auto after = aExchange.Query("after");
    const auto wait =
      std::chrono::milliseconds(std::stoll(aExchange.Query("wait_ms").value_or("0")));
    const auto stored = after.has_value()
                          ? this->store.Watch(key, core::Revision(std::stoull(*after)), wait)
                          : this->store.Get(key);
    if (!stored.ok()) {
      Fail(aExchange, stored.status());
    } else if (!stored->has_value()) {
      aExchange.Respond(kNotFound, "text/plain", key);
    } else {
      aExchange.Respond(kOk, "application/json", ToJson(**stored).dump());
    }
  }

  void ListValues(net::HttpExchange& aExchange, const std::string& aPrefix)
  {
    const auto values = this->store.List(aPrefix);
    if (!values.ok()) {
      Fail(aExchange, values.status());
      return;
    }
    json answer = { { "values", json::array() } };
    for (const platform::KeyedValue& value : *values) {
      json line = ToJson(value.stored);
      line["key"] = value.key;
      answer["values"].push_back(std::move(line));
    }
    aExchange.Respond(kOk, "application/json", answer.dump());
  }

  void Write(net::HttpExchange& aExchange, const json& aText)
  {
    const auto written = this->store.CompareAndSwap(aExchange.Query("key").value_or(""),
                                                    core::Revision(aText.at("expected")),
                                                    aText.at("value").get<std::string>());
    if (!written.ok()) {
      Fail(aExchange, written.status());
      return;
    }
    aExchange.Respond(kOk, "application/json", json{ { "revision", written->Number() } }.dump());
  }

  void HandleLease(net::HttpExchange& aExchange, const json& aText)
  {
    const std::string name = aExchange.Query("name").value_or("");
    const std::string action = aText.at("action");
    const core::FencingToken token(aText.value("token", std::uint64_t{ 0 }));
    const std::chrono::milliseconds duration(aText.value("duration_ms", 0));
    if (action == "release") {
      const absl::Status released = this->store.ReleaseLease(name, token);
      released.ok() ? void(aExchange.Respond(kOk, "application/json", "{}"))
                    : Fail(aExchange, released);
      return;
    }
    const auto grant = action == "acquire"
                         ? this->store.AcquireLease(name, aText.at("holder"), duration)
                         : this->store.RenewLease(name, token, duration);
    if (!grant.ok()) {
      Fail(aExchange, grant.status());
      return;
    }
    aExchange.Respond(kOk, "application/json", json{ { "token", grant->token.Number() } }.dump());
  }

  void HandleInstances(net::HttpExchange& aExchange, const json& aText)
  {
    const std::scoped_lock lock(this->listMutex);
    if (this->down) {
      aExchange.Respond(kUnavailable, "text/plain", "down");
      return;
    }
    if (aExchange.Method() == "POST") {
      this->instances[aText.at("name").get<std::string>()].update(aText);
    } else if (aExchange.Method() == "DELETE") {
      this->instances.erase(aExchange.Query("name").value_or(""));
    }
    json answer = { { "instances", json::array() } };
    for (const auto& [name, instance] : this->instances) {
      answer["instances"].push_back(instance);
    }
    aExchange.Respond(kOk, "application/json", answer.dump());
  }

  core::SystemClock clock;
  fakes::MemoryStore store;
  std::mutex listMutex;
  std::map<std::string, json> instances;
  std::atomic<bool> down = false;
  std::atomic<int> delayMs = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  fakes::FakeSettings settings;
  apps::CommandLine line("fake-platform", "Stands in for the platform's services.");
  fakes::AddFakeFlags(line, settings);
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  FakePlatform platform;
  return fakes::ServeFake(settings, "", "", [&](net::HttpExchange& aExchange) {
    try {
      platform.Handle(aExchange);
    } catch (const std::exception& problem) {
      aExchange.Respond(400, "text/plain", problem.what());
    }
  });
}

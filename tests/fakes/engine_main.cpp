// Fake model engine: streams tokens that depend on model, prompt and position only.
//
// A test orders faults with POST /v1/faults {"crash_after_tokens": number}: the next answers are
// cut after so many tokens. Faults of orders: {"crash_in_change": true} makes the engine start
// anew, with nothing loaded, in the middle of its next change; {"ignore_orders": number} makes it
// take so many orders without carrying them out.

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

#include <plantainslip/routing/prompt_pieces.hpp>

#include "../../apps/common/stop_signal.hpp"
#include "expected_answer.hpp"
#include "fake_process.hpp"
#include "prefix_cache.hpp"
#include "slot_queue.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::size_t kLargestBodyBytes = 10'000'000;

struct EngineSettings
{
  fakes::FakeSettings fake;
  std::string model = "none";
  std::string version = "0";
  std::string role = "mixed";
  int tokenIntervalUs = 2000;
  int changeMs = 300;
  bool checksFencing = false;
  std::uint64_t slots = 0;
  std::uint64_t prefillTokensPerSecond = 0;
  std::size_t cachePieces = 0;
  std::uint64_t lostEventEvery = 0;
};

class FakeEngine
{
public:
  explicit FakeEngine(const EngineSettings& aSettings)
    : settings(aSettings)
    , model(aSettings.model)
    , version(aSettings.version)
    , role(aSettings.role)
    , slots(aSettings.slots)
    , cache(aSettings.cachePieces, aSettings.lostEventEvery)
  {
  }

  void Handle(net::HttpExchange& aExchange)
  {
    const std::string call = aExchange.Method() + " " + aExchange.Path();
    const auto body = aExchange.ReadBody(kLargestBodyBytes);
    const json text = body.ok() ? json::parse(*body, nullptr, false) : json();
    if (call == "POST /v1/generate") {
      this->Generate(aExchange, text);
    } else if (call == "GET /v1/report") {
      aExchange.Respond(kOk, "application/json", this->Report().dump());
    } else if (call == "POST /v1/orders") {
      this->TakeOrder(aExchange, text);
    } else if (call == "GET /v1/orders") {
      const std::scoped_lock lock(this->mutex);
      aExchange.Respond(kOk, "application/json", this->orders.dump());
    } else if (call == "POST /v1/cancel") {
      this->Cancel(aExchange, text);
    } else if (call == "GET /v1/cache-events") {
      this->ShowCacheEvents(aExchange);
    } else if (call == "GET /v1/work") {
      aExchange.Respond(kOk, "application/json", this->Work().dump());
    } else if (call == "POST /v1/faults") {
      this->crashAfterTokens = text.value("crash_after_tokens", std::int64_t{ -1 });
      this->SetOrderFaults(text);
      aExchange.Respond(kOk, "application/json", "{}");
    } else {
      aExchange.Respond(kNotFound, "text/plain", call);
    }
  }

private:
  void SetOrderFaults(const json& aText)
  {
    const std::scoped_lock lock(this->mutex);
    this->crashInChange = aText.value("crash_in_change", false);
    this->ordersToIgnore = aText.value("ignore_orders", std::uint64_t{ 0 });
  }

  void StartAnew()
  {
    this->crashInChange = false;
    this->changing = false;
    this->model = this->settings.model;
    this->version = this->settings.version;
    this->role = this->settings.role;
    this->adapters.clear();
    this->lastOrder.clear();
    this->highestToken = 0;
  }

  // An order takes effect some time after it was taken; until then the engine takes no work.
  void FinishChangeIfDue()
  {
    if (this->changing && this->crashInChange) {
      this->StartAnew();
    }
    if (this->changing && std::chrono::steady_clock::now() >= this->changeEndsAt) {
      this->changing = false;
      this->model = this->pending.at("model");
      this->version = this->pending.at("version");
      this->role = this->pending.at("role");
      if (this->pending.at("kind") == "load_adapter") {
        this->adapters.insert(this->pending.at("adapter").get<std::string>());
      }
    }
  }

  void ShowCacheEvents(net::HttpExchange& aExchange)
  {
    const std::uint64_t after = std::stoull(aExchange.Query("after").value_or("0"));
    json events = json::array();
    const std::scoped_lock lock(this->mutex);
    for (const targets::CacheEvent& event : this->cache.EventsAfter(after)) {
      events.push_back({ { "sequence", event.sequence },
                         { "piece", event.pieceHash },
                         { "stored", event.stored } });
    }
    aExchange.Respond(kOk, "application/json", json{ { "events", events } }.dump());
  }

  // What the engine has done, for tests to compare with what callers were told.
  json Work()
  {
    const std::scoped_lock lock(this->mutex);
    return { { "begun", this->begun.load() },
             { "held_pieces", this->heldPieces },
             { "cancelled", this->cancelled.size() } };
  }

  json Report()
  {
    const std::scoped_lock lock(this->mutex);
    this->FinishChangeIfDue();
    return { { "role", this->role },
             { "model", this->model },
             { "version", this->version },
             { "adapters", this->adapters },
             { "changing", this->changing },
             { "running", this->slots.Taken() },
             { "queued", this->slots.Waiting() },
             { "queued_prefill", 0 },
             { "last_order", this->lastOrder },
             { "last_order_done", !this->changing },
             { "highest_token", this->highestToken } };
  }

  void TakeOrder(net::HttpExchange& aExchange, const json& aText)
  {
    const std::scoped_lock lock(this->mutex);
    this->FinishChangeIfDue();
    const std::uint64_t token = aText.at("token");
    json record = aText;
    record["running"] = this->slots.Taken() + this->slots.Waiting();
    record["accepted"] = false;
    const bool fenced = this->settings.checksFencing && token < this->highestToken;
    const bool repeated = aText.at("order") == this->lastOrder;
    const int status = fenced ? kForbidden : (this->changing && !repeated ? kConflict : kOk);
    if (status == kOk && !repeated && this->ordersToIgnore > 0) {
      --this->ordersToIgnore;
    } else if (status == kOk && !repeated) {
      record["accepted"] = true;
      this->lastOrder = aText.at("order");
      this->pending = aText;
      this->changing = true;
      this->changeEndsAt =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(this->settings.changeMs);
    }
    this->highestToken = std::max(this->highestToken, token);
    this->orders.push_back(std::move(record));
    aExchange.Respond(status, "application/json", "{}");
  }

  void Cancel(net::HttpExchange& aExchange, const json& aText)
  {
    const std::scoped_lock lock(this->mutex);
    this->cancelled.insert(aText.at("request").get<std::string>() + "/" +
                           std::to_string(aText.at("attempt").get<std::uint64_t>()));
    aExchange.Respond(kOk, "application/json", "{}");
  }

  bool IsCancelled(const std::string& aAttempt)
  {
    const std::scoped_lock lock(this->mutex);
    return this->cancelled.contains(aAttempt);
  }

  // An answer in another version than asked for would be another answer.
  bool CanServe(const json& aText)
  {
    const std::scoped_lock lock(this->mutex);
    this->FinishChangeIfDue();
    return !this->changing && aText.at("model") == this->model &&
           aText.at("version") == this->version;
  }

  void Generate(net::HttpExchange& aExchange, const json& aText)
  {
    if (!this->CanServe(aText)) {
      aExchange.Respond(kUnavailable, "text/plain", "not loaded, or in a change");
      return;
    }
    ++this->begun;
    this->slots.Enter(aText.at("priority").get<int>());
    this->Prefill(aText);
    this->Stream(aExchange, aText);
    this->slots.Leave();
  }

  void Prefill(const json& aText)
  {
    const std::string prompt = aText.at("prompt");
    const auto pieces =
      routing::HashPieces({ aText.at("model"), aText.at("version"), aText.at("adapter") }, prompt);
    std::uint64_t uncached = routing::EstimateTokens(prompt).Number();
    {
      const std::scoped_lock lock(this->mutex);
      const std::size_t held = this->cache.Use(pieces);
      this->heldPieces += held;
      uncached -= held * routing::kPieceTokens;
    }
    if (this->settings.prefillTokensPerSecond > 0) {
      const auto speed = static_cast<double>(this->settings.prefillTokensPerSecond);
      std::this_thread::sleep_for(
        std::chrono::duration<double>(static_cast<double>(uncached) / speed));
    }
  }

  void Stream(net::HttpExchange& aExchange, const json& aText)
  {
    const std::string request = aText.at("request");
    const std::uint64_t attempt = aText.at("attempt");
    const std::string name =
      aText.at("model").get<std::string>() + "@" + aText.at("version").get<std::string>();
    const std::string prompt = aText.at("prompt");
    const std::uint64_t length = aText.at("max_tokens");
    const std::string attemptName = request + "/" + std::to_string(attempt);
    json line = { { "request", request }, { "attempt", attempt } };
    std::int64_t sent = 0;
    aExchange.BeginStream(kOk, "application/x-ndjson");
    for (std::uint64_t offset = aText.at("offset"); offset < length; ++offset, ++sent) {
      const std::int64_t crashAt = this->crashAfterTokens;
      if (this->IsCancelled(attemptName) || (crashAt >= 0 && sent >= crashAt)) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::microseconds(this->settings.tokenIntervalUs));
      line["offset"] = offset;
      line["text"] = fakes::ExpectedToken(name, prompt, offset);
      if (!aExchange.SendChunk(line.dump() + "\n")) {
        return;
      }
    }
    line.erase("text");
    line["offset"] = length;
    line["end"] = "length";
    aExchange.SendChunk(line.dump() + "\n");
    aExchange.EndStream();
  }

  EngineSettings settings;
  std::mutex mutex;
  std::string model;
  std::string version;
  std::string role;
  std::set<std::string> adapters;
  std::set<std::string> cancelled;
  std::string lastOrder;
  std::uint64_t highestToken = 0;
  json orders = json::array();
  json pending;
  bool changing = false;
  bool crashInChange = false;
  std::uint64_t ordersToIgnore = 0;
  std::chrono::steady_clock::time_point changeEndsAt;
  fakes::SlotQueue slots;
  fakes::PrefixCache cache;
  std::uint64_t heldPieces = 0;
  std::atomic<std::uint64_t> begun = 0;
  std::atomic<std::int64_t> crashAfterTokens = -1;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  EngineSettings settings;
  apps::CommandLine line("fake-engine", "Stands in for a model engine.");
  fakes::AddFakeFlags(line, settings.fake);
  line.Add("model", settings.model, "Model that is loaded at the start", "Engine");
  line.Add("model-version", settings.version, "Version that is loaded at the start", "Engine");
  line.Add("role", settings.role, "Role at the start", "Engine");
  line.Add(
    "token-interval-us", settings.tokenIntervalUs, "Time for one token; microseconds", "Engine");
  line.Add("change-ms", settings.changeMs, "Time that an order takes; milliseconds", "Engine");
  line.Add(
    "checks-fencing", settings.checksFencing, "Whether old fencing tokens are refused", "Engine");
  line.Add("slots", settings.slots, "Requests worked on at once; 0 for no bound", "Engine");
  line.Add("prefill-rate",
           settings.prefillTokensPerSecond,
           "Prompt tokens prefilled in a second; 0 for no delay",
           "Engine");
  line.Add("cache-pieces", settings.cachePieces, "Pieces that the prefix cache holds", "Engine");
  line.Add("lost-event-every",
           settings.lostEventEvery,
           "Every so many cache events are lost; 0 for none",
           "Engine");
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  FakeEngine engine(settings);
  return fakes::ServeFake(settings.fake, "engine", "", [&](net::HttpExchange& aExchange) {
    try {
      engine.Handle(aExchange);
    } catch (const std::exception& problem) {
      aExchange.Respond(400, "text/plain", problem.what());
    }
  });
}

#pragma once

/// @brief Sound model workers for the cases of the review; a case may spoil single answers.

#include "rig.hpp"

namespace rig {

/// @brief A model worker of one stage: prefills, decodes, streams events, reports, takes orders.
class Engine
{
public:
  /// @brief Handles a run in a way of the case's own.
  /// @return nothing if the worker is to handle it as a sound one; else whether the connection is
  ///         kept
  using Spoil = std::function<std::optional<bool>(int aConnection, const Message& aRequest)>;

  Engine(Store& aStore,
         Record& aRecord,
         std::string aId,
         std::string aZone,
         std::string aStage,
         Spoil aSpoil = {})
    : store(aStore)
    , record(aRecord)
    , id(std::move(aId))
    , stage(std::move(aStage))
    , spoil(std::move(aSpoil))
    , server([this](int aConnection, const Message& aRequest) {
      return this->Serve(aConnection, aRequest);
    })
  {
    json entry = Entry("models", this->server.Address(), aZone, this->stage);
    entry["slots"] = kSlots;
    this->store.Put("servers/" + this->id, entry.dump());
  }

  const std::string& Id() const { return this->id; }

  static constexpr int kSlots = 16;
  static constexpr int kEvents = 4;

  /// @brief Text of one event of a request's stream.
  static std::string Event(const std::string& aRequestId, int aNumber)
  {
    return "id: " + std::to_string(aNumber) + "\ndata: " + aRequestId + " piece " +
           std::to_string(aNumber) + "\n\n";
  }

  /// @brief Fields of an answer to a run.
  std::string Fields(const Message& aRequest) const
  {
    return "X-Request-Id: " + aRequest.Field("X-Request-Id") + "\r\nX-Response-Seal: seal-" +
           this->id + "\r\n";
  }

private:
  bool Serve(int aConnection, const Message& aRequest)
  {
    const std::string target = aRequest.Target();
    const std::string requestId = aRequest.Field("X-Request-Id");
    if (target == "/plantainslip/report") {
      const json report = { { "stage", this->stage }, { "busy", false },        { "sequence", 0 },
                            { "queuedRequests", 0 },  { "runningRequests", 0 }, { "kvUsed", 0 },
                            { "kvTotal", 800'000 },   { "handles", 0 } };
      return SendAll(aConnection, FormatAnswer(200, "", report.dump()));
    }
    if (target == "/plantainslip/order") {
      this->record.Write(this->id + ": order " + aRequest.body + ", answered 409");
      return SendAll(aConnection, FormatAnswer(409, "", ""));
    }
    if (aRequest.Method() == "DELETE") {
      return SendAll(aConnection, FormatAnswer(200, "", ""));
    }
    const std::string echoed = "X-Request-Id: " + requestId + "\r\n";
    const bool prefill = aRequest.Field("X-Serving-Stage") == "prefill";
    const std::string expected = aRequest.Field("X-Expect-Instance");
    if ((!expected.empty() && expected != this->id) || prefill != (this->stage == "prefill")) {
      return SendAll(aConnection, FormatAnswer(421, echoed + "X-Not-Run: 1\r\n", ""));
    }
    if (prefill) {
      const json result = { { "handle", this->id + "-" + requestId },
                            { "tokens", 100 },
                            { "version", 1 } };
      return SendAll(aConnection, FormatAnswer(200, echoed, result.dump()));
    }
    const std::string last = aRequest.Field("Last-Event-Id");
    this->record.Write(this->id + ": runs " + requestId +
                       (last.empty() ? "" : ", goes on after event " + last));
    if (this->spoil) {
      if (const std::optional<bool> kept = this->spoil(aConnection, aRequest)) {
        return *kept;
      }
    }
    std::string body;
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= kEvents; ++number) {
      body += Event(requestId, number);
    }
    return SendAll(
      aConnection,
      FormatAnswer(200, this->Fields(aRequest) + "Content-Type: text/event-stream\r\n", body));
  }

  Store& store;
  Record& record;
  std::string id;
  std::string stage;
  Spoil spoil;
  Server server;
};

/// @brief Configuration with a resumable stream `/note/` and a plain service `desk`.
inline json
Configuration(std::uint64_t aVersion)
{
  json note = Route("note", "stream", "models");
  note["attempts"] = 2;
  note["allowResume"] = true;
  note["sessionAffinity"] = true;
  json look = Route("look", "safe", "desk");
  look["attempts"] = 2;
  return {
    { "version", aVersion },
    { "routes", json::array({ note, look, Route("pay", "unsafe", "desk") }) },
    { "services",
      json::array(
        { { { "name", "models" },
            { "healthPath", "/health" },
            { "maxConnections", 630 },
            { "engine",
              { { "slots", Engine::kSlots },
                { "kvTokens", 800'000 },
                { "tokenKvBytes", 35'136 },
                { "linkMbps", 550'000 },
                { "handleTtlS", 5.0 },
                { "switchS", 3.0 } } } },
          { { "name", "desk" }, { "healthPath", "/health" }, { "maxConnections", 110 } } }) },
    { "limits", CallerLimits() }
  };
}

} // namespace rig

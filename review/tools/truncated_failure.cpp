// Case: a model worker fails some requests with 500 and breaks some of its answers off. Usage:
// truncated_failure FOLDER, with record.txt and the gateways' files written there.

#include "engines.hpp"

namespace {

using namespace rig; // NOLINT(google-build-using-namespace)

constexpr int kRequests = 600;
/// The grey worker fails two requests in five, and breaks one answer in twenty off.
constexpr int kFailsOf = 5;
constexpr int kFails = 2;
constexpr int kBreaksOf = 20;

std::string
FailureBody(const std::string& aRequestId)
{
  return "the engine failed on " + aRequestId + "; nothing was generated\n";
}

std::string
WholeStream(const std::string& aRequestId)
{
  std::string body;
  for (int number = 1; number <= Engine::kEvents; ++number) {
    body += Engine::Event(aRequestId, number);
  }
  return body;
}

std::string
Quoted(const std::string& aText)
{
  return json(aText).dump();
}

int
Run(const std::string& aFolder, const std::string& aTemporary)
{
  Record record(aFolder + "/record.txt");
  const bool trouble = HasTrouble();
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Store store;
  store.Put("op/config", Configuration(7).dump());

  std::atomic<int> answers = 0;
  Engine* grey = nullptr;
  const auto spoil = [&](int aConnection, const Message& aRequest) -> std::optional<bool> {
    const std::string requestId = aRequest.Field("X-Request-Id");
    const int number = ++answers;
    const bool fails = number % kFailsOf < kFails;
    const bool breaks = trouble && number % kBreaksOf == 0;
    if (!fails) {
      return std::nullopt;
    }
    const std::string answer = FormatAnswer(
      500, grey->Fields(aRequest) + "Content-Type: text/plain\r\n", FailureBody(requestId));
    if (!breaks) {
      record.Write(grey->Id() + ": answers " + requestId + " with 500");
      return SendAll(aConnection, answer);
    }
    record.Write(grey->Id() + ": answers " + requestId + " with 500 and breaks the body off");
    SendAll(aConnection, answer.substr(0, answer.size() - FailureBody(requestId).size() / 2));
    return false;
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (const std::string zone : { "z1", "z2", "z3" }) {
    engines.push_back(
      std::make_unique<Engine>(store, record, "read-" + zone, zone, "prefill", Engine::Spoil{}));
    engines.push_back(std::make_unique<Engine>(
      store, record, "gen-" + zone, zone, "decode", zone == "z1" ? Engine::Spoil(spoil) : nullptr));
    if (zone == "z1") {
      grey = engines.back().get();
    }
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string zone : { "z1", "z2", "z3" }) {
    gateways.push_back(std::make_unique<Gateway>(
      Gateway::Options{ "front-" + zone, zone, store.Address(), aTemporary }));
  }
  if (!AwaitReady(gateways, 15'000)) {
    record.Write("the system did not become ready");
    return kCouldNotRun;
  }
  int broken = 0;
  int whole = 0;
  for (int number = 0; number < kRequests; ++number) {
    const std::string requestId = "r" + std::to_string(100'000 + number);
    const auto& gateway = gateways[static_cast<std::size_t>(number) % gateways.size()];
    const std::string request =
      "POST /note/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + requestId +
      "\r\nX-Deadline-Ms: 8000\r\nX-Model-Id: m\r\n"
      "X-Token-Usage: 100,20\r\nX-Prompt-Prefix: a1:60,b2:40\r\n"
      "Content-Length: 4\r\n\r\nbody";
    record.Write("client: sends " + requestId + " to " + gateway->Name());
    const Answer answer = Call(gateway->Front(), request, 10'000);
    record.Write("client: " + requestId + " gets " + std::to_string(answer.status) + " of " +
                 answer.head.Field("X-Response-Seal") +
                 (answer.complete ? ", complete: " : ", incomplete: ") + Quoted(answer.body));
    const std::string sealed = answer.head.Field("X-Response-Seal");
    if (!answer.complete || sealed.empty()) {
      continue;
    }
    const std::string expected =
      answer.status == 200 ? WholeStream(requestId) : FailureBody(requestId);
    ++whole;
    if (answer.body != expected) {
      ++broken;
      record.Write("BROKEN: the answer to " + requestId +
                   " looks complete, but is not what its worker sent; the worker's body is " +
                   Quoted(expected));
    }
    Sleep(10);
  }
  record.Write(std::to_string(whole) + " answers of workers looked complete, " +
               std::to_string(broken) + " of them wrongly");
  return broken > 0 ? kBroken : (whole > 0 ? kHeld : kCouldNotRun);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int result = Run(aArguments[1], aArguments[2]);
  std::cout << (result == kBroken ? "the rule was broken"
                : result == kHeld ? "held"
                                  : "not run")
            << "\n";
  return result;
}

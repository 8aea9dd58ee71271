// Fake plain service: counts how often each key was run.
//
// A test orders faults with POST /v1/faults {"fail": "before" | "after" | ""}: the connection is
// closed before or after the work is done, without an answer.

#include <map>
#include <mutex>

#include <nlohmann/json.hpp>

#include "../../apps/common/stop_signal.hpp"
#include "fake_process.hpp"

namespace {

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr int kOk = 200;
constexpr std::size_t kLargestBodyBytes = 2'000'000;

class FakeService
{
public:
  void Handle(net::HttpExchange& aExchange)
  {
    const std::string call = aExchange.Method() + " " + aExchange.Path();
    const std::string body = aExchange.ReadBody(kLargestBodyBytes).value_or("");
    if (call == "GET /v1/runs") {
      const std::scoped_lock lock(this->mutex);
      aExchange.Respond(kOk, "application/json", json(this->runs).dump());
    } else if (call == "POST /v1/faults") {
      const std::scoped_lock lock(this->mutex);
      this->fail = json::parse(body).value("fail", "");
      aExchange.Respond(kOk, "application/json", "{}");
    } else {
      this->Run(aExchange, body);
    }
  }

private:
  void Run(net::HttpExchange& aExchange, const std::string& aBody)
  {
    json answer;
    {
      const std::scoped_lock lock(this->mutex);
      if (this->fail == "before") {
        return;
      }
      const std::string key = aExchange.HeaderValue("Idempotency-Key").value_or("");
      const int count = ++this->runs[key];
      if (this->fail == "after") {
        return;
      }
      answer = { { "key", key }, { "run", count }, { "echo", aBody } };
    }
    aExchange.Respond(kOk, "application/json", answer.dump());
  }

  std::mutex mutex;
  std::map<std::string, int> runs;
  std::string fail;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  fakes::FakeSettings settings;
  std::string service = "service";
  apps::CommandLine line("fake-service", "Stands in for a plain service.");
  fakes::AddFakeFlags(line, settings);
  line.Add("service", service, "Name of the plain service", "Service");
  if (const auto exitCode = line.Parse(aCount, aArguments); exitCode.has_value()) {
    return *exitCode;
  }
  apps::BlockStopSignals();
  FakeService fake;
  return fakes::ServeFake(settings, "service", service, [&](net::HttpExchange& aExchange) {
    try {
      fake.Handle(aExchange);
    } catch (const std::exception& problem) {
      aExchange.Respond(400, "text/plain", problem.what());
    }
  });
}

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "harness/child_process.hpp"
#include "harness/wire_fleet.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using harness::CallerAnswer;
using harness::WireFleet;
using nlohmann::json;

namespace {

std::string
Credentials(const std::string& aKey)
{
  return "Authorization: Bearer " + aKey + "\r\n";
}

json
Workspace(const std::string& aName, const std::vector<std::string>& aKeys)
{
  return { { "name", aName }, { "keys", aKeys }, { "priority", 3 } };
}

// Checks that each request states the expected workspace, once, and no credentials.
void
CheckIdentity(const fakes::WireTarget& aTarget, const std::string& aWorkspace)
{
  for (const fakes::ReceivedRequest& request : aTarget.Received()) {
    CAPTURE(request.id);
    CHECK(serving::FindHeader(request.headers, "Authorization") == nullptr);
    std::vector<std::string> stated;
    for (const serving::Header& header : request.headers) {
      if (serving::EqualIgnoringCase(header.name, "X-Tenant-Id")) {
        stated.push_back(header.value);
      }
    }
    const bool isPublic = request.path.starts_with("/open/");
    CHECK(stated ==
          (isPublic ? std::vector<std::string>{} : std::vector<std::string>{ aWorkspace }));
  }
}

} // namespace

// Guards against a key that reaches a target, a workspace that a caller chooses itself, and
// requests that run without a key.
TEST_CASE("targets get the workspace of the caller's key, never the key")
{
  WireFleet fleet;
  fakes::WireTarget& prefill = fleet.AddTarget("i-p0", "models", "prefill");
  fakes::WireTarget& firstDecode = fleet.AddTarget("i-d0", "models", "decode");
  fakes::WireTarget& secondDecode = fleet.AddTarget("i-d1", "models", "decode");
  fakes::WireTarget& desk = fleet.AddTarget("i-s0", "desk", "");
  fleet.SetWorkspaces({ Workspace("acme", { "key-1", "key-2" }), Workspace("empty", {}) });
  fleet.AddRoute("open", { { "public", true } });
  fleet.Configure(3);
  fleet.StartGateway();
  const std::string forged = "X-Tenant-Id: other\r\nx-tenant-id: third\r\n";
  const std::string key = Credentials("key-1");

  SUBCASE("on the plain path")
  {
    CHECK(fleet.Call("GET", "/look/x", "1", key + forged).status == 200);
    CHECK(fleet.Call("POST", "/pay/x", "2", "authorization: BEARER key-2\r\n", "b").status == 200);
    CHECK(fleet.Call("GET", "/open/x", "3", forged).status == 200);
    CHECK(fleet.Call("GET", "/open/x", "4", key + forged).status == 200);
    CHECK(desk.Received().size() == 4);
    CheckIdentity(desk, "acme");
  }
  SUBCASE("on the engine path, also when a stream goes on at another engine")
  {
    firstDecode.SetBehaviors({ fakes::TargetBehavior::kBreak });
    secondDecode.SetBehaviors({ fakes::TargetBehavior::kBreak });
    const CallerAnswer answer =
      fleet.Call("POST", "/note/x", "5", key + forged + WireFleet::CompletionHeaders(), "prompt");
    CHECK(answer.status == 200);
    CHECK(prefill.Received().size() >= 1);
    CHECK(firstDecode.Received().size() + secondDecode.Received().size() >= 2);
    for (const fakes::WireTarget* engine : { &prefill, &firstDecode, &secondDecode }) {
      CheckIdentity(*engine, "acme");
      for (const fakes::ReceivedRequest& request : engine->Received()) {
        const bool reads = engine == &prefill;
        const std::string* const priority =
          serving::FindHeader(request.headers, "X-Request-Priority");
        CHECK((reads || (priority != nullptr && *priority == "3")));
      }
    }
  }
  SUBCASE("requests without a workspace's key do not run")
  {
    const std::string completion = WireFleet::CompletionHeaders();
    // Until the store has confirmed the configuration, the key may be a new one.
    harness::Await("an unknown key to be refused", [&] {
      const int status = fleet.Call("GET", "/look/x", "6", Credentials("key-3")).status;
      CHECK((status == 401 || status == 503));
      return status == 401;
    });
    CHECK(fleet.Call("GET", "/look/x", "7").status == 401);
    CHECK(fleet.Call("GET", "/look/x", "8", key + Credentials("key-2")).status == 401);
    CHECK(fleet.Call("POST", "/quote/x", "9", forged + completion, "prompt").status == 401);
    CHECK(fleet.Call("GET", "/nowhere/x", "10").status == 404);
    CHECK(desk.Received().empty());
    CHECK(prefill.Received().empty());
    CHECK(fleet.Metrics().find("unauthorized_total{kind=\"key_missing\"} 2") != std::string::npos);
    CHECK(fleet.Metrics().find("plantainslip_workspaces 2\n") != std::string::npos);
  }
}

// Guards against revoked keys that go on being accepted, and against a bad version that ends or
// changes what is in force.
TEST_CASE("keys change with the configuration, and a bad one changes nothing")
{
  WireFleet fleet;
  fleet.AddTarget("i-s0", "desk", "");
  fleet.AddTarget("i-p0", "models", "prefill");
  fleet.SetWorkspaces(json::array({ Workspace("acme", { "key-1" }) }));
  fleet.Configure(3);
  fleet.StartGateway();
  int calls = 0;
  const auto status = [&](const std::string& aKey) {
    return fleet.Call("GET", "/look/x", std::to_string(++calls), Credentials(aKey)).status;
  };
  CHECK(status("key-1") == 200);

  fleet.SetWorkspaces(json::array({ Workspace("acme", { "key-2" }) }));
  fleet.Configure(4);
  harness::Await("the new key to be in force", [&] { return status("key-2") == 200; });
  harness::Await("the revoked key to be refused for good", [&] {
    const int refused = status("key-1");
    CHECK((refused == 401 || refused == 503));
    return refused == 401;
  });

  fleet.SetWorkspaces({ Workspace("acme", { "key-3" }), Workspace("other", { "key-3", "key-1" }) });
  fleet.Configure(5);
  harness::Await("the bad configuration to be refused", [&] {
    return fleet.Gateway(0).Output().find("configuration invalid") != std::string::npos;
  });
  CHECK(status("key-2") == 200);
  CHECK(status("key-1") == 401);
  CHECK(status("key-3") == 401);

  SUBCASE("without the store, the last known keys are accepted and no other is refused for good")
  {
    fleet.Store().SetMode(fakes::WireStore::Mode::kRefusing);
    harness::Await("unknown keys to be unconfirmed", [&] { return status("key-1") == 503; });
    CHECK(status("key-2") == 200);
    const CallerAnswer refused = fleet.Call("GET", "/look/x", "last", Credentials("key-9"));
    CHECK(refused.head.find("Retry-After: ") != std::string::npos);
  }
}

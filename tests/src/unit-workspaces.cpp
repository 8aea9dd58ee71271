#include <doctest/doctest.h>

#include <plantainslip/core/error.hpp>
#include <plantainslip/serving/key_check.hpp>
#include <plantainslip/workspaces/errors.hpp>

#include "directory_wire.hpp"
#include "target_wire.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;
using workspaces::KeyTable;
using workspaces::WorkspaceKeys;

namespace {

WorkspaceKeys
Entry(const std::string& aName, std::vector<std::string> aKeys, std::optional<int> aRank = {})
{
  return { { core::WorkspaceId(aName), aRank }, std::move(aKeys) };
}

std::string
ConfigWith(const std::string& aTenants)
{
  return R"({"version": 7, "services": [], "routes": [{"name": "r", "host": "h", "prefix": "/p/",
             "kind": "safe", "service": "m", "public": true}], "tenants": )" +
         aTenants + "}";
}

} // namespace

TEST_CASE("a key table finds the workspace of each key and no other")
{
  std::vector<WorkspaceKeys> entries;
  for (int number = 0; number < 6'400; ++number) {
    const std::string name = "w" + std::to_string(number);
    entries.push_back(Entry(name, { name + "-a", name + "-b" }, number % 3));
  }
  entries.push_back(Entry("closed", {}));
  const auto table = KeyTable::Create(entries);
  REQUIRE(table.ok());
  CHECK(table->Size() == 6'401);
  CHECK(table->WithoutKeys() == std::vector{ core::WorkspaceId("closed") });
  REQUIRE(table->Find("w77-b") != nullptr);
  CHECK(*table->Find("w77-b") == entries[77].workspace);
  CHECK(table->Find("w77-c") == nullptr);
  CHECK(table->Find("W77-b") == nullptr);
  CHECK(table->Find("") == nullptr);
}

// Guards against a configuration that lets callers of one workspace act for another.
TEST_CASE("contradicting workspaces are refused with an error that has no key")
{
  const std::vector<std::vector<WorkspaceKeys>> invalid = {
    { Entry("a", { "secret" }), Entry("b", { "other", "secret" }) },
    { Entry("a", { "secret" }), Entry("a", { "other" }) },
    { Entry("a", { "secret", "" }) },
    { Entry("", { "secret" }) },
    { Entry("a\r\nX-Other: secret", { "secret" }) },
  };
  for (const auto& entries : invalid) {
    const auto table = KeyTable::Create(entries);
    REQUIRE_FALSE(table.ok());
    CHECK(core::IsError(table.status(), workspaces::errors::kBadWorkspaces));
    CHECK(std::string(table.status().message()).find("secret") == std::string::npos);
  }
  CHECK(KeyTable::Create({ Entry("a", { "k", "k" }) }).ok());
}

TEST_CASE("workspaces are read from the configuration, and bad ones refuse all of it")
{
  const wire::DirectoryWire codec;
  const auto config = codec.ReadConfig(ConfigWith(
    R"([{"name": "a", "keys": ["k1", "k2"], "priority": 3}, {"name": "b", "keys": []}])"));
  REQUIRE(config.ok());
  CHECK(config->routes.front().isPublic);
  REQUIRE(config->workspaces != nullptr);
  CHECK(*config->workspaces->Find("k2") == workspaces::Workspace{ core::WorkspaceId("a"), 3 });
  CHECK(config->workspaces->WithoutKeys().size() == 1);
  for (const char* tenants :
       { R"({"a": ["k1"]})",
         R"("a")",
         "7",
         R"([{"name": "a"}])",
         R"([{"keys": ["k1"]}])",
         R"([{"name": "a", "keys": "k1"}])",
         R"([{"name": "a", "keys": [7]}])",
         R"([{"name": "a", "keys": ["k1"], "priority": "high"}])",
         R"([{"name": "a", "keys": [""]}])",
         R"([{"name": "a", "keys": ["k"]}, {"name": "b", "keys": ["k"]}])" }) {
    CAPTURE(tenants);
    CHECK_FALSE(codec.ReadConfig(ConfigWith(tenants)).ok());
  }
  SUBCASE("an empty list requires keys, which nobody has; null is as no list")
  {
    const auto closed = codec.ReadConfig(ConfigWith("[]"));
    REQUIRE(closed.ok());
    CHECK(closed->workspaces != nullptr);
    const auto open = codec.ReadConfig(ConfigWith("null"));
    REQUIRE(open.ok());
    CHECK(open->workspaces == nullptr);
  }
}

TEST_CASE("a request's key decides whether it may run")
{
  ServingConfig config;
  const auto create = [] {
    return KeyTable::Create({ Entry("a", { "k1" }, 2), Entry("b", { "k2" }) });
  };
  config.workspaces = std::make_shared<const KeyTable>(*create());
  Route route;
  const milliseconds recent = kConfirmationLifetime;
  const milliseconds old = kConfirmationLifetime + 1ms;
  const auto check = [&](const HeaderList& aHeaders, milliseconds aAge) {
    return CheckKey(config, route, aHeaders, aAge, std::nullopt);
  };
  SUBCASE("the scheme is compared without case, the key with it")
  {
    for (const char* value : { "Bearer k1", "bearer k1", "BEARER   k1", " Bearer k1 " }) {
      const KeyDecision decision = check({ { "authorization", value } }, old);
      REQUIRE(decision.outcome == KeyOutcome::kWorkspace);
      CHECK(decision.workspace->id.Text() == "a");
    }
  }
  SUBCASE("other credentials are refused only by a configuration that is surely the newest")
  {
    const std::vector<std::pair<HeaderList, std::string>> refused = {
      { {}, "key_missing" },
      { { { "Authorization", "Bearer K1" } }, "key_unknown" },
      { { { "Authorization", "Bearer k1 k2" } }, "key_unknown" },
      { { { "Authorization", "Basic k1" } }, "key_malformed" },
      { { { "Authorization", "k1" } }, "key_malformed" },
      { { { "Authorization", "Bearer" } }, "key_malformed" },
      { { { "Authorization", "Bearer k1" }, { "Authorization", "Bearer k2" } }, "key_malformed" },
    };
    for (const auto& entry : refused) {
      const HeaderList& headers = entry.first;
      const std::string& reason = entry.second;
      CAPTURE(reason);
      CHECK(check(headers, recent).outcome == KeyOutcome::kUnauthorized);
      CHECK(check(headers, recent).reason == reason);
      CHECK(check(headers, old).outcome == KeyOutcome::kUnconfirmed);
    }
    const HeaderList twice = { { "Authorization", "Bearer k2" }, { "authorization", "Bearer k2" } };
    CHECK(check(twice, recent).outcome == KeyOutcome::kWorkspace);
  }
  SUBCASE("with a revocation bound, known keys need a recent confirmation too")
  {
    const HeaderList headers = { { "Authorization", "Bearer k1" } };
    CHECK(CheckKey(config, route, headers, 4'999ms, 5s).outcome == KeyOutcome::kWorkspace);
    CHECK(CheckKey(config, route, headers, 5s, 5s).outcome == KeyOutcome::kUnconfirmed);
    route.isPublic = true;
    CHECK(CheckKey(config, route, headers, 1h, 5s).outcome == KeyOutcome::kPublicRoute);
  }
  SUBCASE("a public route and a configuration without workspaces need no key")
  {
    route.isPublic = true;
    CHECK(check({ { "Authorization", "Bearer k1" } }, recent).outcome == KeyOutcome::kPublicRoute);
    config.workspaces = nullptr;
    CHECK(check({}, old).outcome == KeyOutcome::kNoWorkspaces);
  }
}

TEST_CASE("attempts state the workspace in a field that callers cannot set")
{
  const wire::TargetWire protocol;
  AttemptPlan plan;
  const HeaderList without = protocol.AttemptHeaders(plan);
  CHECK(FindHeader(without, "X-Tenant-Id") == nullptr);
  plan.workspace = core::WorkspaceId("a");
  const HeaderList headers = protocol.AttemptHeaders(plan);
  REQUIRE(FindHeader(headers, "X-Tenant-Id") != nullptr);
  CHECK(*FindHeader(headers, "X-Tenant-Id") == "a");
  CHECK(protocol.IsCallerIdentity("x-tenant-id"));
  CHECK(protocol.IsCallerIdentity("AUTHORIZATION"));
  CHECK_FALSE(protocol.IsReserved("Authorization"));
}

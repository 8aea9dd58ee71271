#include <doctest/doctest.h>

#include <cstdlib>

#include <rapidcheck.h>

#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/resume_token.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

// The seed is fixed, unless the environment overrides it.
const int kSeedSet = setenv("RC_PARAMS", "seed=1", 0);

const requests::ResumeSigner kSigner("key of all instances");

requests::CompletionRequest
Request()
{
  requests::CompletionRequest request;
  request.deployment = core::DeploymentName("reader");
  request.prompt = "a long dossier";
  request.maxTokens = core::TokenCount(100);
  return request;
}

std::string
SignToken(const requests::CompletionRequest& aRequest)
{
  return kSigner.SignFor(aRequest, { core::RequestId("request"), "m", "1", "engine-1", 0 });
}

control::FleetView
ViewWith(const std::string& aVersion)
{
  control::EngineView engine;
  engine.deployment = core::DeploymentName("reader");
  engine.report = targets::EngineReport();
  engine.report->model = "m";
  engine.report->version = aVersion;
  config::Configuration configuration;
  configuration.deployments[core::DeploymentName("reader")] = { "m", "newest", {} };
  control::FleetView view;
  view.configuration = std::make_shared<config::Configuration>(configuration);
  view.engines.push_back(engine);
  return view;
}

} // namespace

TEST_CASE("a resume token is accepted by every instance with the key for the same request")
{
  auto request = Request();
  request.resume = SignToken(request);
  request.resumeOffset = core::TokenOffset(17);
  CHECK(requests::PrepareResume(kSigner, ViewWith("1"), request).ok());
  CHECK(request.version == "1");
  CHECK(request.resumeOffset == core::TokenOffset(17));
}

TEST_CASE("a resume token is refused with another prompt, length, key or version")
{
  const std::string token = SignToken(Request());
  auto request = Request();
  request.resume = token;
  SUBCASE("prompt")
  {
    request.prompt = "another dossier";
    CHECK(core::IsError(requests::PrepareResume(kSigner, ViewWith("1"), request),
                        requests::errors::kBadResume));
  }
  SUBCASE("length")
  {
    request.maxTokens = core::TokenCount(101);
    CHECK(core::IsError(requests::PrepareResume(kSigner, ViewWith("1"), request),
                        requests::errors::kBadResume));
  }
  SUBCASE("an offset above max_tokens")
  {
    request.resumeOffset = core::TokenOffset(101);
    CHECK(core::IsError(requests::PrepareResume(kSigner, ViewWith("1"), request),
                        requests::errors::kBadResume));
  }
  SUBCASE("key")
  {
    CHECK_FALSE(requests::ResumeSigner("another key").Read(token).ok());
    CHECK_FALSE(requests::ResumeSigner("").Read(token).ok());
    CHECK(requests::ResumeSigner("").SignFor(Request(), {}).empty());
  }
  SUBCASE("version")
  {
    CHECK(core::IsError(requests::PrepareResume(kSigner, ViewWith("2"), request),
                        requests::errors::kVersionGone));
  }
}

TEST_CASE("an offset without a resume token is ignored")
{
  auto request = Request();
  request.resumeOffset = core::TokenOffset(5);
  CHECK(requests::PrepareResume(kSigner, ViewWith("1"), request).ok());
  CHECK(request.resumeOffset == core::TokenOffset());
}

TEST_CASE("a resume token with any changed character is refused, and so is any other string")
{
  REQUIRE(kSeedSet == 0);
  const std::string token = SignToken(Request());
  CHECK(rc::check("one character changed", [&] {
    std::string changed = token;
    // The last character may contain bits that the decoder ignores.
    const auto at = *rc::gen::inRange<std::size_t>(0, token.size() - 1);
    changed[at] =
      *rc::gen::suchThat<char>([&](char aCharacter) { return aCharacter != token[at]; });
    RC_ASSERT(!kSigner.Read(changed).ok());
  }));
  CHECK(rc::check("arbitrary text",
                  [] { RC_ASSERT(!kSigner.Read(*rc::gen::arbitrary<std::string>()).ok()); }));
}

#include <doctest/doctest.h>

#include <plantainslip/serving/event_stream.hpp>
#include <plantainslip/serving/request_traits.hpp>

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)

TEST_CASE("the digest of a request tells its attempts from other requests")
{
  const HeaderList headers = { { "Host", "h.example" }, { "X-Request-Id", "1" } };
  const RequestDigest digest = DigestRequest("POST", "/pay/x", headers, "", "coins");
  SUBCASE("an attempt has another id, and other fields that only concern it")
  {
    const HeaderList again = { { "X-Deadline-Ms", "900" },
                               { "host", "H.example" },
                               { "X-Request-Id", "2" } };
    CHECK(DigestRequest("POST", "/pay/x", again, "", "coins") == digest);
  }
  SUBCASE("another request differs in method, path, query, body, host or caller")
  {
    CHECK(DigestRequest("PUT", "/pay/x", headers, "", "coins") != digest);
    CHECK(DigestRequest("POST", "/pay/y", headers, "", "coins") != digest);
    CHECK(DigestRequest("POST", "/pay/x?page=2", headers, "", "coins") != digest);
    CHECK(DigestRequest("POST", "/pay/x", headers, "", "notes") != digest);
    CHECK(DigestRequest("POST", "/pay/", headers, "", "xcoins") != digest);
    CHECK(DigestRequest("POST", "/pay/x", { { "Host", "other.example" } }, "", "coins") != digest);
    const RequestDigest ofCaller = DigestRequest("POST", "/pay/x", headers, "Bearer a", "coins");
    CHECK(ofCaller != digest);
    CHECK(DigestRequest("POST", "/pay/x", headers, "Bearer A", "coins") != ofCaller);
  }
}

TEST_CASE("a request has its digest and its prompt's shared parts as traits")
{
  PromptInfo prompt;
  prompt.parts = { { 7, 100 }, { 3, 100 }, { 7, 100 }, { 9, 100 } };
  const RequestDigest digest(5);
  const TraitSet expected = { Trait::OfPart(3), Trait::OfPart(7), Trait::OfRequest(digest) };
  CHECK(TraitsOf(digest, prompt) == expected);
  CHECK(TraitsOf(digest, std::nullopt) == TraitSet{ Trait::OfRequest(digest) });
  CHECK(Trait::OfRequest(RequestDigest(7)) != Trait::OfPart(7));
}

TEST_CASE("an event stream is known by its media type")
{
  CHECK(IsEventStream({ { "content-type", "text/event-stream" } }));
  CHECK(IsEventStream({ { "Content-Type", "Text/Event-Stream; charset=utf-8" } }));
  CHECK_FALSE(IsEventStream({ { "Content-Type", "application/json" } }));
  CHECK_FALSE(IsEventStream({}));
}

// Guards against a failure, or another kind of body, that is joined with an event stream.
TEST_CASE("only a successful event stream is relayed event by event")
{
  const HeaderList stream = { { "Content-Type", "text/event-stream" } };
  const HeaderList json = { { "Content-Type", "application/json" } };
  const HeaderList none = {};
  for (const RequestKind kind : { RequestKind::kStream, RequestKind::kAtMostOnce }) {
    for (const bool unframed : { false, true }) {
      CHECK(IsRelayedByEvent(kind, 200, stream, unframed));
      for (const int status : { 201, 400, 500, 503 }) {
        CHECK_FALSE(IsRelayedByEvent(kind, status, stream, unframed));
        CHECK_FALSE(IsRelayedByEvent(kind, status, none, unframed));
      }
    }
  }
  CHECK(IsRelayedByEvent(RequestKind::kStream, 200, none, false));
  CHECK(IsRelayedByEvent(RequestKind::kStream, 200, json, true));
  CHECK_FALSE(IsRelayedByEvent(RequestKind::kStream, 200, json, false));
  CHECK_FALSE(IsRelayedByEvent(RequestKind::kAtMostOnce, 200, none, true));
  CHECK_FALSE(IsRelayedByEvent(RequestKind::kAtMostOnce, 200, json, true));
}

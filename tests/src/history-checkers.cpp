#include <doctest/doctest.h>

#include <harness/history.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using core::Outcome;
using harness::History;

// Every checker passes a sound history and finds a planted violation in it.

TEST_CASE("the checker of answers finds")
{
  History history;
  history.Add(harness::AnswerEvent{ "sound", "a b c ", "a b c ", true, std::nullopt });
  history.Add(harness::AnswerEvent{ "failed", "a b c ", "a b ", false, Outcome::kUnknown });
  REQUIRE(harness::CheckAnswers(history).empty());

  SUBCASE("an answer that was cut and passed as whole")
  {
    history.Add(harness::AnswerEvent{ "cut", "a b c ", "a b ", true, std::nullopt });
    CHECK(harness::CheckAnswers(history).size() == 1);
  }
  SUBCASE("a piece of another caller's answer")
  {
    history.Add(harness::AnswerEvent{ "crossed", "a b c ", "a x ", false, std::nullopt });
    CHECK(harness::CheckAnswers(history).size() == 1);
  }
  SUBCASE("a repeated piece")
  {
    history.Add(harness::AnswerEvent{ "repeated", "a b c ", "a a b c ", true, std::nullopt });
    CHECK(harness::CheckAnswers(history).size() == 2);
  }
  SUBCASE("a refusal as not run after a part was delivered")
  {
    history.Add(harness::AnswerEvent{ "untrue", "a b c ", "a ", false, Outcome::kNotRun });
    CHECK(harness::CheckAnswers(history).size() == 1);
  }
}

TEST_CASE("the checker of planned changes finds")
{
  History history;
  history.Add(harness::AnswerEvent{ "sound", "a ", "a ", true, std::nullopt });
  history.Add(harness::AnswerEvent{ "refused", "a ", "", false, Outcome::kNotRun });
  REQUIRE(harness::CheckNothingCut(history).empty());

  SUBCASE("an answer that broke off")
  {
    history.Add(harness::AnswerEvent{ "cut", "a b ", "a ", false, std::nullopt });
    CHECK(harness::CheckNothingCut(history).size() == 1);
  }
  SUBCASE("an answer that failed with an error")
  {
    history.Add(harness::AnswerEvent{ "failed", "a b ", "a ", false, Outcome::kUnknown });
    CHECK(harness::CheckNothingCut(history).size() == 1);
  }
}

TEST_CASE("the checker of payments finds")
{
  History history;
  history.Add(harness::PaymentEvent{ "k1", true, std::nullopt });
  history.Add(harness::PaymentEvent{ "k2", false, Outcome::kNotRun });
  history.runs = { { "k1", 1 } };
  REQUIRE(harness::CheckAtMostOnce(history).empty());
  REQUIRE(harness::CheckNotRunIsTrue(history).empty());

  SUBCASE("a payment that ran twice")
  {
    history.runs["k1"] = 2;
    CHECK(harness::CheckAtMostOnce(history).size() == 1);
  }
  SUBCASE("a payment that was answered and never ran")
  {
    history.runs.clear();
    CHECK(harness::CheckAtMostOnce(history).size() == 1);
  }
  SUBCASE("a refusal as not run of a payment that ran")
  {
    history.runs["k2"] = 1;
    CHECK(harness::CheckNotRunIsTrue(history).size() == 1);
  }
}

TEST_CASE("the checker of orders finds")
{
  History history;
  history.Add(harness::OrderEvent{ "e1", "o1", 1, true, 0 });
  history.Add(harness::OrderEvent{ "e1", "o1", 2, false, 0 });
  history.Add(harness::OrderEvent{ "e1", "o2", 2, true, 0 });
  REQUIRE(harness::CheckOrders(history).empty());
  REQUIRE(harness::CheckAuthority(history).empty());

  SUBCASE("an order that took effect twice")
  {
    history.Add(harness::OrderEvent{ "e1", "o1", 2, true, 0 });
    CHECK(harness::CheckOrders(history).size() == 1);
  }
  SUBCASE("an engine that was changed while it worked")
  {
    history.Add(harness::OrderEvent{ "e1", "o3", 2, true, 3 });
    CHECK(harness::CheckOrders(history).size() == 1);
  }
  SUBCASE("an order of a process that had lost its authority")
  {
    history.Add(harness::OrderEvent{ "e1", "o0", 1, true, 0 });
    CHECK(harness::CheckAuthority(history).size() == 1);
  }
}

TEST_CASE("the checker of the configuration finds")
{
  History history;
  history.Add(harness::VersionEvent{ "i1", 1 });
  history.Add(harness::VersionEvent{ "i1", 2 });
  history.Add(harness::PatchEvent{ "p1", 1, false });
  history.Add(harness::PatchEvent{ "p2", std::nullopt, true });
  history.acceptedPatches = { { "p1", 1 } };
  REQUIRE(harness::CheckVersionsNeverRevert(history).empty());
  REQUIRE(harness::CheckPatches(history).empty());

  SUBCASE("an instance that went back")
  {
    history.Add(harness::VersionEvent{ "i1", 1 });
    CHECK(harness::CheckVersionsNeverRevert(history).size() == 1);
  }
  SUBCASE("an accepted patch that is not in force")
  {
    history.Add(harness::PatchEvent{ "p3", 2, false });
    CHECK(harness::CheckPatches(history).size() == 1);
  }
  SUBCASE("a refused patch that is in force")
  {
    history.acceptedPatches["p2"] = 2;
    CHECK(harness::CheckPatches(history).size() == 1);
  }
  SUBCASE("two patches with one version")
  {
    history.acceptedPatches["p3"] = 1;
    CHECK(harness::CheckPatches(history).size() == 1);
  }
}

TEST_CASE("the checker of leaving targets finds new work after the bound")
{
  History history;
  history.leavingSinceMs = { { "e1", 1000 } };
  history.Add(harness::WorkEvent{ "e1", 2000 });
  history.Add(harness::WorkEvent{ "e2", 9000 });
  REQUIRE(harness::CheckLeaving(history, 3000).empty());
  history.Add(harness::WorkEvent{ "e1", 4001 });
  CHECK(harness::CheckLeaving(history, 3000).size() == 1);
}

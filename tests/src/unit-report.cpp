#include <doctest/doctest.h>

#include <plantainslip/observe/burn_rate.hpp>
#include <plantainslip/observe/metrics_page.hpp>

#include "../../apps/report/render.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using observe::ServiceLevelSeries;

namespace {

core::WallTime
Second(int aSecond)
{
  return core::WallTime(std::chrono::seconds(1'700'000'000 + aSecond));
}

std::string
Page(int aAccepted,
     int aAnswered,
     int aFailed,
     int aOpen,
     const std::string& aDeployment = "reader")
{
  const std::string ended = "plantainslip_requests_ended_total{end=\"";
  const std::string byDeployment = "plantainslip_deployment_requests_ended_total{deployment=\"";
  return "# TYPE x counter\nplantainslip_instance_info{instance=\"entry-1\",zone=\"a\"} 1\n"
         "plantainslip_requests_accepted_total " +
         std::to_string(aAccepted) + "\n" + ended + "answered\"} " + std::to_string(aAnswered) +
         "\n" + ended + "failed\"} " + std::to_string(aFailed) +
         "\nplantainslip_requests_lost_total 0\nplantainslip_requests_open " +
         std::to_string(aOpen) + "\n" + byDeployment + aDeployment + "\",end=\"answered\"} " +
         std::to_string(aAnswered) + "\n" + byDeployment + aDeployment + "\",end=\"failed\"} " +
         std::to_string(aFailed) + "\n";
}

report::InstanceSample
Reading(int aSecond, const std::string& aPage)
{
  return report::ReadPage(Second(aSecond), "127.0.0.1:1", aPage);
}

report::InstanceSample
NoReading(int aSecond)
{
  report::InstanceSample sample;
  sample.at = Second(aSecond);
  sample.address = "127.0.0.1:1";
  sample.problem = "no connection";
  return sample;
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("burn rates follow the readings")
{
  ServiceLevelSeries series;
  series.Add({ Second(0), 100, 50 });
  series.Add({ Second(60), 200, 51 });

  SUBCASE("only what happened within the window counts")
  {
    series.Add({ Second(600), 200, 51 });
    CHECK(series.Within(Second(600), std::chrono::seconds(300)).events == 0);
    CHECK(series.Within(Second(600), std::chrono::seconds(600)).events == 100);
    CHECK(series.Within(Second(600), std::chrono::seconds(600)).missed == 1);
    CHECK(series.Within(Second(600), std::chrono::seconds(600)).whole);
    CHECK_FALSE(series.Within(Second(600), std::chrono::seconds(601)).whole);
  }

  SUBCASE("a restarted process counts from zero")
  {
    series.Add({ Second(120), 10, 4 });
    const auto events = series.Within(Second(120), std::chrono::seconds(120));
    CHECK(events.events == 110);
    CHECK(events.missed == 5);
  }

  SUBCASE("the rate is the missed share over the allowed share")
  {
    CHECK(observe::BurnRate({ 100, 1, true }, 0.99) == doctest::Approx(1.0));
    CHECK(observe::BurnRate({ 100, 10, true }, 0.95) == doctest::Approx(2.0));
    CHECK_FALSE(observe::BurnRate({ 0, 0, true }, 0.95).has_value());
  }
}

TEST_CASE("a page of metrics is read line by line")
{
  const auto lines = observe::ParseMetricsPage("# c\n\na 1\nb{x=\"1\",y=\"q\\\"\\\\\"} 2.5\n");
  REQUIRE(lines.ok());
  REQUIRE(lines->size() == 2);
  CHECK(lines->at(1).name == "b");
  CHECK(lines->at(1).labels.at("y") == "q\"\\");
  CHECK(lines->at(1).value == 2.5);
  for (const char* bad : { "a", "a x", "a{", "a{b} 1", "a{b=\"} 1", "a{b=\"\\", "a nan", "{} 1" }) {
    CHECK_MESSAGE(!observe::ParseMetricsPage(bad).ok(), bad);
  }
}

TEST_CASE("every accepted request is followed to one end")
{
  SUBCASE("readings that add up have no difference")
  {
    const auto accounts =
      report::DrawUpAccounts({ Reading(0, Page(3, 2, 0, 1)), Reading(5, Page(9, 7, 1, 1)) });
    CHECK(accounts.differences.empty());
    CHECK(accounts.total.accepted == 9);
    CHECK(accounts.total.open == 1);
  }

  SUBCASE("a request without an end is a difference")
  {
    const auto accounts = report::DrawUpAccounts({ Reading(0, Page(5, 2, 0, 1)) });
    REQUIRE(accounts.differences.size() == 1);
    CHECK(accounts.differences[0] == "entry-1 accepted 5 requests and accounts for 3");
  }

  SUBCASE("requests open at a process that restarted have no known end")
  {
    const auto accounts =
      report::DrawUpAccounts({ Reading(0, Page(5, 2, 0, 3)), Reading(5, Page(1, 1, 0, 0)) });
    CHECK(accounts.total.accepted == 6);
    CHECK(accounts.total.endUnknown == 3);
    REQUIRE(accounts.differences.size() == 1);
    CHECK(Has(accounts.differences[0], "restarted with 3"));
  }

  SUBCASE("an instance that went is told, with what it had open")
  {
    const auto accounts = report::DrawUpAccounts({ Reading(0, Page(5, 2, 0, 3)), NoReading(5) });
    CHECK(accounts.total.endUnknown == 3);
    CHECK(accounts.differences.size() == 2);
  }

  SUBCASE("an instance that never answered is told")
  {
    CHECK(report::DrawUpAccounts({ NoReading(5) }).differences.size() == 1);
  }
}

TEST_CASE("a report tells burn and accounts")
{
  const auto made = report::MakeReport(
    { Reading(0, Page(0, 0, 0, 0)), Reading(3600, Page(100, 90, 10, 0)) }, report::Objectives{});

  SUBCASE("the burn is that of the deployment and zone")
  {
    REQUIRE(made.burns.size() == 3);
    CHECK(made.burns[0].deployment == "reader");
    CHECK(made.burns[0].zone == "a");
    CHECK(made.burns[0].windows[1].rate.value() == doctest::Approx(100.0));
    CHECK(made.burns[0].windows[1].whole);
    CHECK_FALSE(made.burns[0].windows[2].whole);
    CHECK(made.burns[0].alert);
    const std::string text = report::RenderText(made);
    CHECK(Has(text, "BURN ALERT: reader in a: answers"));
    CHECK(Has(text, "every accepted request is accounted for"));
  }

  SUBCASE("a deployment that an earlier reading did not list counts from zero")
  {
    const auto later = report::MakeReport(
      { Reading(0, Page(0, 0, 0, 0, "other")), Reading(60, Page(4, 4, 0, 0, "reader")) },
      report::Objectives{});
    CHECK(later.burns[3].deployment == "reader");
    CHECK(later.burns[3].events == 4);
  }

  SUBCASE("saved readings give the same report")
  {
    const std::string saved = report::FormatSample(Reading(0, Page(0, 0, 0, 0))) + "\n" +
                              report::FormatSample(Reading(3600, Page(100, 90, 10, 0))) + "\n";
    const auto samples = report::ParseSamples(saved);
    REQUIRE(samples.ok());
    CHECK(report::RenderJson(report::MakeReport(*samples, report::Objectives{})) ==
          report::RenderJson(made));
    CHECK_FALSE(report::ParseSamples(saved.substr(0, saved.size() / 4)).ok());
  }

  SUBCASE("the page escapes names and loads nothing")
  {
    const auto hostile = report::MakeReport(
      { Reading(0, Page(0, 0, 0, 0)), Reading(60, Page(9, 5, 0, 0, "<script>alert(1)</script>")) },
      report::Objectives{});
    const std::string page = report::RenderHtml(hostile);
    CHECK_FALSE(Has(page, "<script"));
    CHECK(Has(page, "&lt;script&gt;"));
    CHECK(Has(page, "NOT ACCOUNTED FOR: entry-1 accepted 9"));
    CHECK_FALSE(Has(page, "http:"));
    CHECK_FALSE(Has(page, "src="));
    CHECK_FALSE(Has(page, "href="));
  }
}

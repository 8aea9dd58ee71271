#include <doctest/doctest.h>

#include <plantainslip/observe/deployment_metrics.hpp>
#include <plantainslip/observe/request_ledger.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using observe::RequestEnd;

namespace {

bool
Has(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the ledger counts every accepted request to one end")
{
  observe::RequestLedger ledger;
  {
    observe::LedgerEntry answered(ledger);
    answered.Close(RequestEnd::kAnswered);
    answered.Close(RequestEnd::kFailed);
    const observe::LedgerEntry dropped(ledger);
  }
  const observe::LedgerEntry open(ledger);
  const std::string text = ledger.Format();
  CHECK(Has(text, "plantainslip_requests_accepted_total 3"));
  CHECK(Has(text, "plantainslip_requests_ended_total{end=\"answered\"} 1"));
  CHECK(Has(text, "plantainslip_requests_ended_total{end=\"failed\"} 0"));
  CHECK(Has(text, "plantainslip_requests_lost_total 1"));
  CHECK(Has(text, "plantainslip_requests_open 1"));
  CHECK(ledger.OpenNow() == 1);
}

TEST_CASE("deployments are counted apart")
{
  observe::DeploymentMetrics metrics;

  SUBCASE("ends and late tokens go to the deployment that they belong to")
  {
    auto& reader = metrics.Of(core::DeploymentName("reader"));
    reader.CountEnd(RequestEnd::kAnswered);
    reader.CountFirstToken(observe::kFirstTokenObjective);
    reader.CountFirstToken(observe::kFirstTokenObjective + std::chrono::milliseconds(1));
    reader.CountTokenGap(observe::kTokenGapObjective + std::chrono::milliseconds(1));
    metrics.Of(core::DeploymentName("quotes")).CountEnd(RequestEnd::kRefused);
    const std::string text = metrics.Format();
    CHECK(Has(text,
              "plantainslip_deployment_requests_ended_total{deployment=\"reader\",end=\"answered\"}"
              " 1"));
    CHECK(Has(text,
              "plantainslip_deployment_requests_ended_total{deployment=\"quotes\",end=\"refused\"}"
              " 1"));
    CHECK(Has(text, "plantainslip_deployment_first_tokens_total{deployment=\"reader\"} 2"));
    CHECK(Has(text, "plantainslip_deployment_first_tokens_late_total{deployment=\"reader\"} 1"));
    CHECK(Has(text, "plantainslip_deployment_token_gaps_late_total{deployment=\"reader\"} 1"));
  }

  SUBCASE("names beyond the bound share one line")
  {
    for (std::size_t name = 0; name < 2 * observe::kMostCountedDeployments; ++name) {
      metrics.Of(core::DeploymentName(std::to_string(name)));
    }
    const auto* shared = &metrics.Of(core::DeploymentName("one more"));
    CHECK(shared == &metrics.Of(core::DeploymentName("another")));
  }

  SUBCASE("a name is quoted, so that it cannot forge a line")
  {
    CHECK(observe::QuoteLabel("a\"b\\c\nd") == R"("a\"b\\c\nd")");
  }
}

#include <doctest/doctest.h>

#include "../../apps/common/table.hpp"
#include "../../apps/ctl/document_diff.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

TEST_CASE("a patch's effect is told value by value")
{
  const json document = { { "a", { { "x", 1 }, { "y", 2 } } }, { "b", "old" } };
  CHECK(ctl::DescribeChange(document, { { "a", { { "x", 3 } } } }) == "- /a/x 1\n+ /a/x 3\n");
  CHECK(ctl::DescribeChange(document, { { "b", nullptr } }) == "- /b \"old\"\n");
  CHECK(ctl::DescribeChange(document, { { "c", { true } } }) == "+ /c/0 true\n");
  CHECK(ctl::DescribeChange(document, { { "b", "old" } }).empty());
  CHECK(ctl::DescribeChange(json::object(), { { "b", 1 } }).find("+ /b 1\n") != std::string::npos);
}

TEST_CASE("a table is aligned and cannot redraw a terminal")
{
  apps::Table table({ "name", "zone" });
  table.AddRow({ "longer-name", "a" });
  table.AddRow({ "x\x1B[2J" });
  CHECK(table.Text() == "name         zone\nlonger-name  a\nx?[2J\n");
}

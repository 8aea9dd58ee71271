#include <plantainslip/observe/metrics_page.hpp>

#include <cmath>

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <plantainslip/observe/errors.hpp>

namespace plantainslip::observe {

namespace {

// Reads one line from left to right; every function returns false if the line is not well formed.
class LineReader
{
public:
  explicit LineReader(absl::string_view aLine)
    : rest(aLine)
  {
  }

  bool Read(MetricLine& aLine)
  {
    const std::size_t nameEnd = this->rest.find_first_of("{ ");
    if (nameEnd == absl::string_view::npos || nameEnd == 0) {
      return false;
    }
    aLine.name = std::string(this->rest.substr(0, nameEnd));
    this->rest.remove_prefix(nameEnd);
    if (this->rest.front() == '{' && !this->ReadLabels(aLine)) {
      return false;
    }
    return this->ReadValue(aLine);
  }

private:
  bool ReadLabels(MetricLine& aLine)
  {
    this->rest.remove_prefix(1);
    while (!this->rest.empty() && this->rest.front() != '}') {
      const std::size_t equals = this->rest.find("=\"");
      if (equals == absl::string_view::npos || equals == 0) {
        return false;
      }
      const std::string name(this->rest.substr(0, equals));
      this->rest.remove_prefix(equals + 2);
      if (!this->ReadQuoted(aLine.labels[name])) {
        return false;
      }
      if (!this->rest.empty() && this->rest.front() == ',') {
        this->rest.remove_prefix(1);
      }
    }
    if (this->rest.empty()) {
      return false;
    }
    this->rest.remove_prefix(1);
    return true;
  }

  bool ReadQuoted(std::string& aValue)
  {
    while (!this->rest.empty() && this->rest.front() != '"') {
      if (this->rest.front() == '\\') {
        this->rest.remove_prefix(1);
        if (this->rest.empty()) {
          return false;
        }
      }
      aValue += this->rest.front();
      this->rest.remove_prefix(1);
    }
    if (this->rest.empty()) {
      return false;
    }
    this->rest.remove_prefix(1);
    return true;
  }

  bool ReadValue(MetricLine& aLine)
  {
    if (this->rest.empty() || this->rest.front() != ' ') {
      return false;
    }
    this->rest.remove_prefix(1);
    return absl::SimpleAtod(this->rest, &aLine.value) && !std::isnan(aLine.value);
  }

  absl::string_view rest;
};

} // namespace

absl::StatusOr<std::vector<MetricLine>>
ParseMetricsPage(const std::string& aText)
{
  std::vector<MetricLine> lines;
  std::size_t at = 0;
  for (std::size_t number = 1; at < aText.size(); ++number) {
    const std::size_t end = std::min(aText.find('\n', at), aText.size());
    const absl::string_view text = absl::string_view(aText).substr(at, end - at);
    at = end + 1;
    if (text.empty() || text.front() == '#') {
      continue;
    }
    MetricLine line;
    if (!LineReader(text).Read(line)) {
      return core::MakeError(errors::kBadPage, "line " + std::to_string(number));
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

} // namespace plantainslip::observe

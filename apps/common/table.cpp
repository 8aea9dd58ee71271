#include "table.hpp"

#include <algorithm>

namespace plantainslip::apps {

namespace {

constexpr std::size_t kGap = 2;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

void
ReplaceControlCharacters(std::string& aText)
{
  for (char& letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (code < kFirstPrintable || code == kDelete) {
      letter = '?';
    }
  }
}

} // namespace

Table::Table(std::vector<std::string> aHeadings)
  : rows({ std::move(aHeadings) })
{
}

void
Table::AddColumn(const std::string& aHeading)
{
  this->rows.front().push_back(aHeading);
}

void
Table::AddRow(std::vector<std::string> aCells)
{
  for (std::string& cell : aCells) {
    ReplaceControlCharacters(cell);
  }
  aCells.resize(this->rows.front().size());
  this->rows.push_back(std::move(aCells));
}

std::string
Table::Text() const
{
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const auto& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column] + std::string(widths[column] - row[column].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace plantainslip::apps

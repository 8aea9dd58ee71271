#pragma once

#include <string>
#include <vector>

namespace plantainslip::apps {

/// @brief Table of texts with aligned columns, for people.
class Table
{
public:
  /// @brief Starts a table with its headings.
  explicit Table(std::vector<std::string> aHeadings);

  /// @brief Adds a heading at the right. Only before the first row.
  void AddColumn(const std::string& aHeading);

  /// @brief Adds a row; missing cells are empty.
  void AddRow(std::vector<std::string> aCells);

  /// @brief Writes the table. Control characters in cells, which could redraw a terminal, become
  ///        question marks. Linear in its size.
  std::string Text() const;

private:
  std::vector<std::vector<std::string>> rows;
};

} // namespace plantainslip::apps

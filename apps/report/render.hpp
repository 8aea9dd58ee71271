#pragma once

#include <string>
#include <vector>

#include "accounts.hpp"
#include "service_levels.hpp"

namespace plantainslip::report {

/// @brief Everything that a report says.
struct Report
{
  Accounts accounts;
  std::vector<LevelBurn> burns;
  core::WallTime from;
  core::WallTime until;
  std::size_t readings = 0;
};

/// @brief Makes the report of readings, oldest first.
Report
MakeReport(const std::vector<InstanceSample>& aSamples, const Objectives& aObjectives);

/// @brief Writes the report as text. Linear in its size.
std::string
RenderText(const Report& aReport);

/// @brief Writes the report as one HTML page with inline plots that loads nothing else. All names
///        are escaped. Linear in its size.
std::string
RenderHtml(const Report& aReport);

/// @brief Writes the report as one JSON object for programs. Linear in its size.
std::string
RenderJson(const Report& aReport);

/// @brief Writes a burn rate for a table: `-` without events, `~` behind it if the readings do not
///        reach back over the whole window.
std::string
FormatBurn(const WindowBurn& aBurn);

/// @brief Writes a moment in UTC.
std::string
FormatMoment(core::WallTime aMoment);

} // namespace plantainslip::report

#include "render.hpp"

#include <algorithm>
#include <cstdio>

namespace plantainslip::report {

namespace {

constexpr double kPlotWidth = 720.0;
constexpr double kPlotHeight = 200.0;
constexpr double kLeft = 56.0;
constexpr double kRight = 12.0;
constexpr double kTop = 12.0;
constexpr double kBottom = 28.0;
constexpr int kGridLines = 4;
constexpr double kHeadroom = 1.1;
constexpr std::size_t kNumberBytes = 64;

constexpr const char* kStyle =
  "body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;"
  "color:#1b1f24;background:#fff}"
  "table{border-collapse:collapse;font-variant-numeric:tabular-nums;margin:.5rem 0 1.5rem}"
  "th,td{padding:.25rem .7rem;border-bottom:1px solid #d8dde3;text-align:right}"
  "th:first-child,td:first-child,th.text,td.text{text-align:left}"
  ".loud{background:#b3261e;color:#fff;padding:.5rem .8rem;font-weight:600;margin:.4rem 0}"
  ".good{background:#e3f2e6;padding:.5rem .8rem}"
  ".over{color:#b3261e;font-weight:600}"
  "svg{width:100%;height:auto;display:block}svg text{font:11px system-ui,sans-serif;fill:#57606a}"
  ".wide{overflow-x:auto}.legend span{margin-right:1.2rem}"
  ".legend i{display:inline-block;width:1.4rem;height:3px;vertical-align:middle;"
  "margin-right:.4rem}";

struct LevelColour
{
  const char* level;
  const char* colour;
};

constexpr std::array<LevelColour, 3> kColours = {
  { { "answers", "#1f5fbf" }, { "first token", "#c2570c" }, { "token gap", "#2c7a3f" } }
};

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string
Number(double aValue, const char* aFormat = "%.1f")
{
  char text[kNumberBytes];
  (void)std::snprintf(text, sizeof(text), aFormat, aValue);
  return text;
}

std::string
Cell(const std::string& aText, const std::string& aClass = {})
{
  const std::string mark = aClass.empty() ? "" : " class=\"" + aClass + "\"";
  return "<td" + mark + ">" + Escape(aText) + "</td>";
}

// Turns moments and burn rates into positions of one plot.
class PlotScale
{
public:
  PlotScale(const Report& aReport, double aMost)
    : from(aReport.from)
    , length(std::max(1.0, std::chrono::duration<double>(aReport.until - aReport.from).count()))
    , most(aMost)
  {
  }

  double X(core::WallTime aMoment) const
  {
    const double share = std::chrono::duration<double>(aMoment - this->from).count() / this->length;
    return kLeft + share * (kPlotWidth - kLeft - kRight);
  }

  double Y(double aRate) const
  {
    return kPlotHeight - kBottom - aRate / this->most * (kPlotHeight - kTop - kBottom);
  }

private:
  core::WallTime from;
  double length;
  double most;
};

std::string
GridLine(const PlotScale& aScale, double aRate, const char* aColour)
{
  const std::string y = Number(aScale.Y(aRate));
  return "<line x1=\"" + Number(kLeft) + "\" x2=\"" + Number(kPlotWidth - kRight) + "\" y1=\"" + y +
         "\" y2=\"" + y + "\" stroke=\"" + aColour + "\"/><text x=\"" + Number(kLeft - 6) +
         "\" y=\"" + Number(aScale.Y(aRate) + 4) + "\" text-anchor=\"end\">" +
         Number(aRate, "%.3g") + "</text>";
}

std::string
Line(const PlotScale& aScale, const LevelBurn& aBurn, const char* aColour)
{
  std::string points;
  for (const BurnPoint& point : aBurn.points) {
    points += Number(aScale.X(point.at)) + "," + Number(aScale.Y(point.rate)) + " ";
  }
  std::string line = "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + std::string(aColour) +
                     "\" points=\"" + points + "\"/>";
  if (!aBurn.points.empty()) {
    const BurnPoint& last = aBurn.points.back();
    line += "<circle r=\"3\" fill=\"" + std::string(aColour) + "\" cx=\"" +
            Number(aScale.X(last.at)) + "\" cy=\"" + Number(aScale.Y(last.rate)) + "\"/>";
  }
  return line;
}

const char*
ColourOf(const std::string& aLevel)
{
  for (const LevelColour& colour : kColours) {
    if (aLevel == colour.level) {
      return colour.colour;
    }
  }
  return "#57606a";
}

std::string
TimeLabels(const Report& aReport)
{
  const std::string y = Number(kPlotHeight - 8);
  return "<text x=\"" + Number(kLeft) + "\" y=\"" + y + "\">" + Escape(FormatMoment(aReport.from)) +
         "</text><text text-anchor=\"end\" x=\"" + Number(kPlotWidth - kRight) + "\" y=\"" + y +
         "\">" + Escape(FormatMoment(aReport.until)) + "</text>";
}

// One plot for each deployment and zone: the burn rate of its levels over the shortest window.
std::string
Plot(const Report& aReport, std::size_t aFirst, std::size_t aEnd)
{
  double most = 1.0;
  for (std::size_t number = aFirst; number < aEnd; ++number) {
    for (const BurnPoint& point : aReport.burns[number].points) {
      most = std::max(most, point.rate);
    }
  }
  const PlotScale scale(aReport, most * kHeadroom);
  const LevelBurn& first = aReport.burns[aFirst];
  std::string plot = "<h3>" + Escape(first.deployment) + " in " + Escape(first.zone) + "</h3>" +
                     "<svg role=\"img\" aria-label=\"burn rate over time\" viewBox=\"0 0 " +
                     Number(kPlotWidth) + " " + Number(kPlotHeight) + "\">";
  for (int line = 0; line <= kGridLines; ++line) {
    plot += GridLine(scale, most * line / kGridLines, "#d8dde3");
  }
  plot += GridLine(scale, 1.0, "#b3261e") + TimeLabels(aReport);
  for (std::size_t number = aFirst; number < aEnd; ++number) {
    plot += Line(scale, aReport.burns[number], ColourOf(aReport.burns[number].level));
  }
  return plot + "</svg>";
}

std::string
Plots(const Report& aReport)
{
  std::string plots = "<h2>Burn rate over 5 minutes</h2><p class=\"legend\">";
  for (const LevelColour& colour : kColours) {
    plots += "<span><i style=\"background:" + std::string(colour.colour) + "\"></i>" +
             colour.level + "</span>";
  }
  plots += "<span><i style=\"background:#b3261e\"></i>budget used up exactly</span></p>";
  std::size_t first = 0;
  for (std::size_t end = 1; end <= aReport.burns.size(); ++end) {
    const bool same = end < aReport.burns.size() &&
                      aReport.burns[end].deployment == aReport.burns[first].deployment &&
                      aReport.burns[end].zone == aReport.burns[first].zone;
    if (!same) {
      plots += Plot(aReport, first, end);
      first = end;
    }
  }
  return plots;
}

std::string
BurnTable(const Report& aReport)
{
  std::string table = "<h2>Service-level burn</h2><p>1 uses up the error budget exactly; ~ marks a "
                      "window that the readings do not fill.</p><div class=\"wide\"><table><tr>"
                      "<th>deployment</th><th class=\"text\">zone</th><th class=\"text\">level</th>"
                      "<th>objective</th><th>events</th>";
  for (const char* name : kWindowNames) {
    table += "<th>" + std::string(name) + "</th>";
  }
  table += "</tr>";
  for (const LevelBurn& burn : aReport.burns) {
    table += "<tr>" + Cell(burn.deployment) + Cell(burn.zone, "text") + Cell(burn.level, "text") +
             Cell(Number(burn.objective, "%g")) + Cell(std::to_string(burn.events));
    for (const WindowBurn& window : burn.windows) {
      table += Cell(FormatBurn(window), window.rate.value_or(0.0) > 1.0 ? "over" : "");
    }
    table += "</tr>";
  }
  return table + "</table></div>";
}

std::string
AccountRow(const std::string& aName, const Account& aAccount)
{
  std::string row =
    "<tr>" + Cell(aName) + Cell(aAccount.zone, "text") + Cell(std::to_string(aAccount.accepted));
  for (const std::uint64_t end : aAccount.ends) {
    row += Cell(std::to_string(end));
  }
  return row + Cell(std::to_string(aAccount.open)) +
         Cell(std::to_string(aAccount.lost), aAccount.lost > 0 ? "over" : "") +
         Cell(std::to_string(aAccount.endUnknown), aAccount.endUnknown > 0 ? "over" : "") + "</tr>";
}

std::string
AccountTable(const Report& aReport)
{
  std::string table = "<h2>Accepted requests and their ends</h2><div class=\"wide\"><table><tr>"
                      "<th>instance</th><th class=\"text\">zone</th><th>accepted</th>"
                      "<th>answered</th><th>refused</th><th>failed</th><th>caller gone</th>"
                      "<th>open</th><th>lost</th><th>end unknown</th></tr>";
  for (const Account& account : aReport.accounts.instances) {
    table += AccountRow(account.instance, account);
  }
  return table + AccountRow("all", aReport.accounts.total) + "</table></div>";
}

std::string
LoudLines(const Report& aReport)
{
  std::string lines;
  for (const std::string& difference : aReport.accounts.differences) {
    lines += "<p class=\"loud\">NOT ACCOUNTED FOR: " + Escape(difference) + "</p>";
  }
  for (const LevelBurn& burn : aReport.burns) {
    if (burn.alert) {
      lines += "<p class=\"loud\">BURN ALERT: " + Escape(burn.deployment) + " in " +
               Escape(burn.zone) + ": " + Escape(burn.level) + "</p>";
    }
  }
  const bool accountedFor = aReport.accounts.differences.empty();
  return lines +
         (accountedFor ? "<p class=\"good\">Every accepted request is accounted for.</p>" : "");
}

} // namespace

std::string
RenderHtml(const Report& aReport)
{
  return "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">"
         "<title>Service-level burn</title><style>" +
         std::string(kStyle) + "</style></head><body><h1>Service-level burn</h1><p>" +
         std::to_string(aReport.readings) + " readings from " + Escape(FormatMoment(aReport.from)) +
         " to " + Escape(FormatMoment(aReport.until)) + ".</p>" + LoudLines(aReport) +
         BurnTable(aReport) + Plots(aReport) + AccountTable(aReport) + "</body></html>\n";
}

} // namespace plantainslip::report

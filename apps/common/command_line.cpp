#include "command_line.hpp"

#include <cctype>
#include <iostream>

#include "version.hpp"

namespace plantainslip::apps {

CommandLine::CommandLine(const std::string& aProgram, const std::string& aPurpose)
  : app(aPurpose, aProgram)
{
  this->app.set_version_flag("--version", aProgram + " " + kVersion);
  this->app.add_flag(
    "--check-settings", this->checkOnly, "Check the settings, then exit without opening a port");
  this->Add("log-level", this->logLevel, "Least level that is logged", "Logging")
    ->check(CLI::IsMember({ "info", "warning", "error" }));
}

std::string
CommandLine::EnvironmentName(const std::string& aName)
{
  std::string name = "PLANTAINSLIP_";
  for (const char letter : aName) {
    name +=
      letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  return name;
}

std::optional<int>
CommandLine::Parse(int aCount, char** aArguments)
{
  try {
    this->app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const bool askedForHelp = problem.get_exit_code() == 0;
    this->app.exit(problem, std::cout, std::cerr);
    return askedForHelp ? kExitDone : kExitBadSettings;
  }
  if (this->checkOnly) {
    std::cout << "settings are valid\n";
    return kExitDone;
  }
  return std::nullopt;
}

} // namespace plantainslip::apps

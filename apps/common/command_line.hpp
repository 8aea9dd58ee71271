#pragma once

#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include <plantainslip/core/log.hpp>

namespace plantainslip::apps {

/// @brief Exit code of a process that did what it was asked.
inline constexpr int kExitDone = 0;
/// @brief Exit code of a process that failed at its work.
inline constexpr int kExitFailed = 1;
/// @brief Exit code for a wrong, missing or contradictory setting.
inline constexpr int kExitBadSettings = 2;

/// @brief Command line of one binary. Every flag has an environment variable, and the usual flags
///        (`--help`, `--version`, `--check-settings`, `--log-level`) are the same everywhere.
class CommandLine
{
public:
  /// @brief Makes the command line.
  /// @param aProgram  name of the binary
  /// @param aPurpose  one line for the help page
  CommandLine(const std::string& aProgram, const std::string& aPurpose);

  /// @brief Adds a flag with a value; its environment variable is `PLANTAINSLIP_` and the name in
  ///        capitals.
  /// @param aName  name without dashes
  /// @param aValue  gets the value; holds the default
  /// @param aDescription  purpose and unit
  /// @param aGroup  heading on the help page
  /// @return the option, to add checks to
  template<typename Value>
  CLI::Option* Add(const std::string& aName,
                   Value& aValue,
                   const std::string& aDescription,
                   const std::string& aGroup)
  {
    return this->app.add_option("--" + aName, aValue, aDescription)
      ->envname(EnvironmentName(aName))
      ->capture_default_str()
      ->group(aGroup);
  }

  /// @brief Reads the flags and the environment.
  /// @return nothing if the program is to go on; otherwise the exit code to end with
  std::optional<int> Parse(int aCount, char** aArguments);

  /// @brief Gives the parser, for subcommands.
  CLI::App& Parser() { return this->app; }

  /// @brief Gives the least level that is logged.
  core::LogLevel LogLevel() const { return core::ParseLogLevel(this->logLevel); }

private:
  static std::string EnvironmentName(const std::string& aName);

  CLI::App app;
  std::string logLevel = "info";
  bool checkOnly = false;
};

} // namespace plantainslip::apps

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <plantainslip/core/log.hpp>

#include "secret.hpp"

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
    return AddTo(this->app, aName, aValue, aDescription, aGroup);
  }

  /// @brief Adds a flag with a value to a subcommand; otherwise as Add().
  template<typename Value>
  static CLI::Option* AddTo(CLI::App& aCommand,
                            const std::string& aName,
                            Value& aValue,
                            const std::string& aDescription,
                            const std::string& aGroup)
  {
    return aCommand.add_option("--" + aName, aValue, aDescription)
      ->envname(EnvironmentName(aName))
      ->capture_default_str()
      ->group(aGroup);
  }

  /// @brief Adds a flag without a value; its environment variable takes `true` or `false`.
  /// @return the option, to add checks to
  CLI::Option* AddSwitch(const std::string& aName,
                         bool& aValue,
                         const std::string& aDescription,
                         const std::string& aGroup);

  /// @brief Adds a flag without a value to a subcommand; otherwise as AddSwitch().
  static CLI::Option* AddSwitchTo(CLI::App& aCommand,
                                  const std::string& aName,
                                  bool& aValue,
                                  const std::string& aDescription,
                                  const std::string& aGroup);

  /// @brief Adds a secret, which is given by its environment variable, in a file that
  ///        `--NAME-file` names, or, where other users cannot list processes, by its own flag. It
  ///        is neither printed as a default nor in a message.
  /// @param aSecret  has to outlive Parse()
  void AddSecret(const std::string& aName,
                 Secret& aSecret,
                 const std::string& aDescription,
                 const std::string& aGroup);

  /// @brief Adds a check of settings that belong together. It runs once all flags are read.
  /// @param aCheck  gives the message for the user; empty if the settings are valid
  void OnCheck(std::function<std::string()> aCheck);

  /// @brief Reads the flags and the environment.
  /// @return nothing if the program is to go on; otherwise the exit code to end with
  std::optional<int> Parse(int aCount, char** aArguments);

  /// @brief Gives the parser, for subcommands.
  CLI::App& Parser() { return this->app; }

  /// @brief Gives the least level that is logged.
  core::LogLevel LogLevel() const { return core::ParseLogLevel(this->logLevel); }

private:
  struct SecretFlag
  {
    std::string name;
    Secret* secret;
    std::shared_ptr<std::string> text;
    std::shared_ptr<std::string> file;
  };

  static std::string EnvironmentName(const std::string& aName);
  static std::string ReadSecret(const SecretFlag& aFlag);

  CLI::App app;
  std::vector<SecretFlag> secrets;
  std::vector<std::function<std::string()>> checks;
  std::string logLevel = "info";
  bool checkOnly = false;
};

} // namespace plantainslip::apps

#include "command_line.hpp"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iostream>

#include "version.hpp"

namespace plantainslip::apps {

namespace {

constexpr std::size_t kLongestSecretBytes = 1000;

// Keys travel in header fields, where blanks and control characters would break the field.
bool
IsKeyLetter(char aLetter)
{
  return std::isgraph(static_cast<unsigned char>(aLetter)) != 0;
}

} // namespace

CommandLine::CommandLine(const std::string& aProgram, const std::string& aPurpose)
  : app(aPurpose, aProgram)
{
  this->app.set_version_flag("--version", aProgram + " " + kVersion);
  this->AddSwitch("check-settings",
                  this->checkOnly,
                  "Check the settings, then exit without opening a port",
                  "Checking");
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

CLI::Option*
CommandLine::AddSwitch(const std::string& aName,
                       bool& aValue,
                       const std::string& aDescription,
                       const std::string& aGroup)
{
  return AddSwitchTo(this->app, aName, aValue, aDescription, aGroup);
}

CLI::Option*
CommandLine::AddSwitchTo(CLI::App& aCommand,
                         const std::string& aName,
                         bool& aValue,
                         const std::string& aDescription,
                         const std::string& aGroup)
{
  return aCommand.add_flag("--" + aName, aValue, aDescription)
    ->envname(EnvironmentName(aName))
    ->group(aGroup);
}

void
CommandLine::AddSecret(const std::string& aName,
                       Secret& aSecret,
                       const std::string& aDescription,
                       const std::string& aGroup)
{
  const SecretFlag flag{
    aName, &aSecret, std::make_shared<std::string>(), std::make_shared<std::string>()
  };
  this->app.add_option("--" + aName, *flag.text, aDescription)
    ->envname(EnvironmentName(aName))
    ->group(aGroup);
  this->app.add_option("--" + aName + "-file", *flag.file, "File that holds --" + aName)
    ->envname(EnvironmentName(aName + "-file"))
    ->group(aGroup);
  this->OnCheck([flag] { return ReadSecret(flag); });
}

std::string
CommandLine::ReadSecret(const SecretFlag& aFlag)
{
  std::string value = *aFlag.text;
  if (!aFlag.file->empty()) {
    const std::string fileFlag = "--" + aFlag.name + "-file: '" + *aFlag.file + "' ";
    if (!value.empty()) {
      return fileFlag + "and --" + aFlag.name + " are both given; only one may be";
    }
    std::ifstream file(*aFlag.file);
    if (!std::getline(file, value) || value.empty()) {
      return fileFlag + "cannot be read or its first line is empty";
    }
  }
  const bool fits = value.size() <= kLongestSecretBytes;
  if (!fits || !std::all_of(value.begin(), value.end(), &IsKeyLetter)) {
    return "--" + aFlag.name + ": must be 1 to 1000 printable characters without blanks";
  }
  aFlag.secret->Set(std::move(value));
  return {};
}

void
CommandLine::OnCheck(std::function<std::string()> aCheck)
{
  this->checks.push_back(std::move(aCheck));
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
  for (const auto& check : this->checks) {
    if (const std::string message = check(); !message.empty()) {
      std::cerr << message << "\n";
      return kExitBadSettings;
    }
  }
  if (this->checkOnly) {
    std::cout << "settings are valid\n";
    return kExitDone;
  }
  return std::nullopt;
}

} // namespace plantainslip::apps

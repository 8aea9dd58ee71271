#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace plantainslip::core {

/// @brief How much a log line matters, least first.
enum class LogLevel
{
  kInfo,
  kWarning,
  kError,
};

/// @brief One named value of a log line.
struct LogField
{
  /// @brief Name of the field in the JSON object.
  std::string_view name;
  /// @brief Value; never a secret.
  std::string value;
};

/// @brief Fields that every line of a process carries.
struct LogIdentity
{
  /// @brief Name of the binary.
  std::string program;
  /// @brief Instance that the process is, or empty.
  std::string instance;
  /// @brief Availability zone of the instance, or empty.
  std::string zone;
};

/// @brief Sends the process's log to standard error as one JSON object a line.
/// @param aIdentity  fields for every line
/// @param aLeast  least level that is written
/// @note Call once, before other threads start. Reports no error.
void
InitializeLog(LogIdentity aIdentity, LogLevel aLeast);

/// @brief Writes one line: time, level, identity, event and fields.
/// @param aLevel  how much the line matters
/// @param aEvent  what happened, in a few words that stay the same from line to line
/// @param aFields  the values concerned
/// @note Safe from any thread; linear in the length of the line; reports no error.
void
Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

/// @brief Reads a level from a setting.
/// @param aText  `info`, `warning` or `error`
/// @return the level; `info` for any other text
LogLevel
ParseLogLevel(std::string_view aText);

} // namespace plantainslip::core

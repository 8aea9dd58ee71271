#include <plantainslip/core/log.hpp>

#include <cstdio>
#include <ctime>
#include <mutex>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace plantainslip::core {

namespace {

constexpr std::size_t kTimeTextBytes = 40;
constexpr int kMillisecondsASecond = 1000;

const char*
LevelName(google::LogSeverity aSeverity)
{
  if (aSeverity >= google::GLOG_ERROR) {
    return "error";
  }
  return aSeverity == google::GLOG_WARNING ? "warning" : "info";
}

std::string
FormatTime(const google::LogMessageTime& aTime)
{
  const std::time_t seconds = aTime.timestamp();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[kTimeTextBytes];
  const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  char fraction[kTimeTextBytes];
  const int milliseconds = static_cast<int>(aTime.usec() / kMillisecondsASecond);
  (void)std::snprintf(fraction, sizeof(fraction), ".%03dZ", milliseconds);
  return std::string(text, length) + fraction;
}

// Instances have no disks, so lines go to standard error and nowhere else.
class JsonLinesSink final : public google::LogSink
{
public:
  explicit JsonLinesSink(LogIdentity aIdentity)
    : identity(std::move(aIdentity))
  {
  }

  void send(google::LogSeverity aSeverity,
            const char* /*aFullName*/,
            const char* /*aBaseName*/,
            int /*aLine*/,
            const google::LogMessageTime& aTime,
            const char* aMessage,
            std::size_t aLength) override
  {
    nlohmann::ordered_json line;
    line["time"] = FormatTime(aTime);
    line["level"] = LevelName(aSeverity);
    line["program"] = this->identity.program;
    line["instance"] = this->identity.instance;
    line["zone"] = this->identity.zone;
    const std::string message(aMessage, aLength);
    const auto fields = nlohmann::ordered_json::parse(message, nullptr, false);
    if (fields.is_object()) {
      line.update(fields);
    } else {
      line["event"] = message;
    }
    const std::string text =
      line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    const std::scoped_lock lock(this->writing);
    (void)std::fwrite(text.data(), 1, text.size(), stderr);
    (void)std::fflush(stderr);
  }

private:
  LogIdentity identity;
  std::mutex writing;
};

google::LogSeverity
ToSeverity(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kError:
      return google::GLOG_ERROR;
    case LogLevel::kWarning:
      return google::GLOG_WARNING;
    default:
      return google::GLOG_INFO;
  }
}

} // namespace

void
InitializeLog(LogIdentity aIdentity, LogLevel aLeast)
{
  static const std::string kProgramName = aIdentity.program;
  static JsonLinesSink sink(std::move(aIdentity));
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  FLAGS_minloglevel = ToSeverity(aLeast);
  google::InitGoogleLogging(kProgramName.c_str());
  for (const auto severity : { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR }) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(&sink);
}

void
Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  if (!google::IsGoogleLoggingInitialized()) {
    return;
  }
  nlohmann::ordered_json line;
  line["event"] = aEvent;
  for (const LogField& field : aFields) {
    line[std::string(field.name)] = field.value;
  }
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  google::LogMessage(__FILE__, __LINE__, ToSeverity(aLevel)).stream() << text;
}

LogLevel
ParseLogLevel(std::string_view aText)
{
  if (aText == "error") {
    return LogLevel::kError;
  }
  return aText == "warning" ? LogLevel::kWarning : LogLevel::kInfo;
}

} // namespace plantainslip::core

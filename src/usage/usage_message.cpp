#include <plantainslip/usage/usage_message.hpp>

#include <set>

#include <nlohmann/json.hpp>

#include <plantainslip/serving/errors.hpp>

namespace plantainslip::usage {

namespace {

using nlohmann::json;

/// Not the beginning of a peer message, which is a CBOR list; its second digit is the version.
constexpr std::string_view kCountsPrefix = "uc1";
constexpr std::string_view kProgressPrefix = "up1";
/// Keeps a datagram within one packet of a network with packets of 1,500 bytes.
constexpr std::size_t kMaxEntryBytes = 1'100;
/// Upper bound of an encoded number, and of the frame of an entry.
constexpr std::size_t kNumberBytes = 9;
/// Windows that one message may be about; far above what its lifetime allows.
constexpr std::size_t kMaxWindows = 1'000;

std::string
Encode(std::string_view aPrefix, const json& aMessage)
{
  std::string bytes(aPrefix);
  json::to_cbor(aMessage, bytes);
  return bytes;
}

std::uint64_t
Milliseconds(milliseconds aDuration)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, aDuration.count()));
}

json
EncodeHead(const CountsMessage& aMessage)
{
  const auto wall = std::chrono::duration_cast<milliseconds>(aMessage.wallNow.time_since_epoch());
  json totals = json::array();
  for (const auto& [window, total] : aMessage.totals) {
    totals.push_back(json::array({ window.Number(), total }));
  }
  return json::array({ aMessage.process.instance.Text(),
                       aMessage.process.startedAt,
                       aMessage.sender.Text(),
                       Milliseconds(wall),
                       Milliseconds(aMessage.uptime),
                       aMessage.completeBefore.Number(),
                       std::move(totals) });
}

// Returns a workspace's name and its counts, in the order of the windows.
json
EncodeEntry(const CountsMessage& aMessage, const core::WorkspaceId& aWorkspace)
{
  json entry = json::array({ aWorkspace.Text() });
  for (const auto& [window, total] : aMessage.totals) {
    const auto counts = aMessage.counts.find(window);
    std::uint64_t count = 0;
    if (counts != aMessage.counts.end()) {
      const auto found = counts->second.find(aWorkspace);
      count = found == counts->second.end() ? 0 : found->second;
    }
    entry.push_back(count);
  }
  return entry;
}

bool
AreNumbers(const json& aList, std::size_t aFrom, std::size_t aTo)
{
  return std::all_of(aList.begin() + static_cast<std::ptrdiff_t>(aFrom),
                     aList.begin() + static_cast<std::ptrdiff_t>(aTo),
                     [](const json& aValue) { return aValue.is_number_unsigned(); });
}

/// Largest time in a message, in milliseconds: about the year 5138. Keeps sums in range.
constexpr std::uint64_t kMaxTime = 100'000'000'000'000;

milliseconds
ReadTime(const json& aValue)
{
  return milliseconds(static_cast<std::int64_t>(std::min(kMaxTime, aValue.get<std::uint64_t>())));
}

std::optional<CountsMessage>
DecodeCounts(const json& aMessage)
{
  constexpr std::size_t kFields = 8;
  if (!aMessage.is_array() || aMessage.size() != kFields || !aMessage[0].is_string() ||
      !aMessage[1].is_number_unsigned() || !aMessage[2].is_string() ||
      !AreNumbers(aMessage, 3, 6) || !aMessage[6].is_array() || !aMessage[7].is_array() ||
      aMessage[6].size() > kMaxWindows) {
    return std::nullopt;
  }
  CountsMessage read;
  read.process = { core::InstanceId(aMessage[0].get<std::string>()),
                   aMessage[1].get<std::uint64_t>() };
  read.sender = core::InstanceId(aMessage[2].get<std::string>());
  read.wallNow = core::WallTime(ReadTime(aMessage[3]));
  read.uptime = ReadTime(aMessage[4]);
  read.completeBefore = Window(aMessage[5].get<std::uint64_t>());
  std::vector<Window> windows;
  for (const json& total : aMessage[6]) {
    if (!total.is_array() || total.size() != 2 || !AreNumbers(total, 0, 2)) {
      return std::nullopt;
    }
    windows.emplace_back(total[0].get<std::uint64_t>());
    read.totals[windows.back()] = total[1].get<std::uint64_t>();
  }
  for (const json& entry : aMessage[7]) {
    if (!entry.is_array() || entry.size() != windows.size() + 1 || !entry[0].is_string() ||
        !AreNumbers(entry, 1, entry.size())) {
      return std::nullopt;
    }
    const core::WorkspaceId workspace(entry[0].get<std::string>());
    for (std::size_t index = 0; index < windows.size(); ++index) {
      const auto count = entry[index + 1].get<std::uint64_t>();
      if (count > 0) {
        read.counts[windows[index]][workspace] = count;
      }
    }
  }
  return read;
}

std::optional<ProgressMessage>
DecodeProgress(const json& aMessage)
{
  constexpr std::size_t kFields = 5;
  if (!aMessage.is_array() || aMessage.size() != kFields || !aMessage[0].is_string() ||
      !AreNumbers(aMessage, 1, kFields)) {
    return std::nullopt;
  }
  return ProgressMessage{ core::InstanceId(aMessage[0].get<std::string>()),
                          ReadTime(aMessage[1]),
                          Window(aMessage[2].get<std::uint64_t>()),
                          Window(aMessage[3].get<std::uint64_t>()),
                          aMessage[4].get<std::uint64_t>() };
}

} // namespace

std::vector<std::string>
EncodeCounts(const CountsMessage& aMessage)
{
  std::set<core::WorkspaceId> workspaces;
  for (const auto& [window, counts] : aMessage.counts) {
    for (const auto& [workspace, count] : counts) {
      workspaces.insert(workspace);
    }
  }
  std::vector<std::string> datagrams;
  json entries = json::array();
  std::size_t bytes = 0;
  const auto flush = [&] {
    json message = EncodeHead(aMessage);
    message.push_back(std::move(entries));
    datagrams.push_back(Encode(kCountsPrefix, message));
    entries = json::array();
    bytes = 0;
  };
  for (const core::WorkspaceId& workspace : workspaces) {
    json entry = EncodeEntry(aMessage, workspace);
    bytes += workspace.Text().size() + kNumberBytes + entry.size() * 2;
    entries.push_back(std::move(entry));
    if (bytes >= kMaxEntryBytes) {
      flush();
    }
  }
  if (!entries.empty() || datagrams.empty()) {
    flush();
  }
  return datagrams;
}

std::string
EncodeProgress(const ProgressMessage& aMessage)
{
  return Encode(kProgressPrefix,
                json::array({ aMessage.sender.Text(),
                              Milliseconds(aMessage.now),
                              aMessage.doneBefore.Number(),
                              aMessage.writtenBefore.Number(),
                              aMessage.era }));
}

bool
IsUsageMessage(std::string_view aBytes)
{
  return aBytes.starts_with(kCountsPrefix) || aBytes.starts_with(kProgressPrefix);
}

absl::StatusOr<UsageMessage>
DecodeUsageMessage(std::string_view aBytes)
{
  UsageMessage read;
  const bool isCounts = aBytes.starts_with(kCountsPrefix);
  if (IsUsageMessage(aBytes)) {
    aBytes.remove_prefix(kCountsPrefix.size());
    const json message = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
    if (isCounts) {
      read.counts = DecodeCounts(message);
    } else {
      read.progress = DecodeProgress(message);
    }
  }
  if (!read.counts.has_value() && !read.progress.has_value()) {
    return core::MakeError(serving::errors::kBadAnswer, "malformed usage message");
  }
  return read;
}

} // namespace plantainslip::usage

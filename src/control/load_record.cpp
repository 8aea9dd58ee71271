#include <plantainslip/control/load_record.hpp>

#include <algorithm>

#include <xxhash.h>

#include <plantainslip/control/errors.hpp>

namespace plantainslip::control {

namespace {

constexpr std::chrono::milliseconds kAgeStep(100);
constexpr std::int64_t kMaxAgeSteps = 255;
constexpr std::uint32_t kMaxQueuedPrefill = 0xffffff;
constexpr unsigned kBitsPerByte = 8;

void
AppendInteger(std::string& aBytes, std::uint32_t aValue, int aWidth)
{
  for (int byte = 0; byte < aWidth; ++byte) {
    aBytes += static_cast<char>((aValue >> (kBitsPerByte * static_cast<unsigned>(byte))) & 0xff);
  }
}

std::uint32_t
ReadInteger(const std::string& aBytes, std::size_t& aOffset, int aWidth)
{
  std::uint32_t result = 0;
  for (int byte = 0; byte < aWidth; ++byte) {
    const std::uint32_t byteValue = static_cast<unsigned char>(aBytes[aOffset++]);
    result |= byteValue << (kBitsPerByte * static_cast<unsigned>(byte));
  }
  return result;
}

} // namespace

std::uint32_t
HashTarget(const core::TargetId& aTarget)
{
  return XXH32(aTarget.Text().data(), aTarget.Text().size(), 0);
}

std::uint16_t
HashIdentity(const targets::EngineReport& aReport)
{
  std::string text = targets::RoleName(aReport.role) + '\0' + aReport.model + '\0' +
                     aReport.version + '\0' + aReport.lastOrder.Text() + '\0' +
                     std::to_string(aReport.highestToken.Number());
  text += aReport.changing ? 'c' : '-';
  text += aReport.lastOrderDone ? 'd' : '-';
  for (const std::string& adapter : aReport.adapters) {
    text += '\0' + adapter;
  }
  const auto hash = static_cast<std::uint16_t>(XXH32(text.data(), text.size(), 0));
  return std::max<std::uint16_t>(hash, 1);
}

std::string
FormatLoadRecords(const std::vector<LoadRecord>& aRecords)
{
  std::string bytes;
  bytes.reserve(aRecords.size() * kLoadRecordBytes);
  for (const LoadRecord& record : aRecords) {
    const std::int64_t ageSteps = std::clamp<std::int64_t>(record.age / kAgeStep, 0, kMaxAgeSteps);
    AppendInteger(bytes, record.target, 4);
    AppendInteger(bytes, record.identity, 2);
    AppendInteger(bytes, static_cast<std::uint32_t>(ageSteps), 1);
    AppendInteger(bytes, record.running, 2);
    AppendInteger(bytes, record.queued, 2);
    AppendInteger(bytes, std::min(record.queuedPrefill, kMaxQueuedPrefill), 3);
  }
  return bytes;
}

absl::StatusOr<std::vector<LoadRecord>>
ParseLoadRecords(const std::string& aBody)
{
  if (aBody.size() % kLoadRecordBytes != 0) {
    return core::MakeError(errors::kBadMessage, std::to_string(aBody.size()) + " bytes");
  }
  std::vector<LoadRecord> records(aBody.size() / kLoadRecordBytes);
  std::size_t offset = 0;
  for (LoadRecord& record : records) {
    record.target = ReadInteger(aBody, offset, 4);
    record.identity = static_cast<std::uint16_t>(ReadInteger(aBody, offset, 2));
    record.age = kAgeStep * ReadInteger(aBody, offset, 1);
    record.running = static_cast<std::uint16_t>(ReadInteger(aBody, offset, 2));
    record.queued = static_cast<std::uint16_t>(ReadInteger(aBody, offset, 2));
    record.queuedPrefill = ReadInteger(aBody, offset, 3);
  }
  return records;
}

} // namespace plantainslip::control

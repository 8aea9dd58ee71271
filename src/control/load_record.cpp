#include <plantainslip/control/load_record.hpp>

#include <algorithm>

#include <xxhash.h>

#include <plantainslip/control/errors.hpp>

namespace plantainslip::control {

namespace {

constexpr std::chrono::milliseconds kAgeStep(100);
constexpr std::int64_t kMostAgeSteps = 255;
constexpr std::uint32_t kMostQueuedPrefill = 0xffffff;
constexpr unsigned kByteBits = 8;

void
Append(std::string& aBytes, std::uint32_t aNumber, int aWidth)
{
  for (int byte = 0; byte < aWidth; ++byte) {
    aBytes += static_cast<char>((aNumber >> (kByteBits * static_cast<unsigned>(byte))) & 0xff);
  }
}

std::uint32_t
Take(const std::string& aBytes, std::size_t& aAt, int aWidth)
{
  std::uint32_t number = 0;
  for (int byte = 0; byte < aWidth; ++byte) {
    const std::uint32_t value = static_cast<unsigned char>(aBytes[aAt++]);
    number |= value << (kByteBits * static_cast<unsigned>(byte));
  }
  return number;
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
    const std::int64_t steps = std::clamp<std::int64_t>(record.age / kAgeStep, 0, kMostAgeSteps);
    Append(bytes, record.target, 4);
    Append(bytes, record.identity, 2);
    Append(bytes, static_cast<std::uint32_t>(steps), 1);
    Append(bytes, record.running, 2);
    Append(bytes, record.queued, 2);
    Append(bytes, std::min(record.queuedPrefill, kMostQueuedPrefill), 3);
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
  std::size_t at = 0;
  for (LoadRecord& record : records) {
    record.target = Take(aBody, at, 4);
    record.identity = static_cast<std::uint16_t>(Take(aBody, at, 2));
    record.age = kAgeStep * Take(aBody, at, 1);
    record.running = static_cast<std::uint16_t>(Take(aBody, at, 2));
    record.queued = static_cast<std::uint16_t>(Take(aBody, at, 2));
    record.queuedPrefill = Take(aBody, at, 3);
  }
  return records;
}

} // namespace plantainslip::control

#include <plantainslip/observe/request_ledger.hpp>

namespace plantainslip::observe {

namespace {

constexpr std::array<const char*, kRequestEnds> kEndNames = { "answered",
                                                              "refused",
                                                              "failed",
                                                              "caller_gone" };

} // namespace

std::string
EndName(RequestEnd aEnd)
{
  return kEndNames[static_cast<std::size_t>(aEnd)];
}

void
RequestLedger::Open()
{
  const std::scoped_lock lock(this->mutex);
  ++this->opened;
  ++this->open;
}

void
RequestLedger::Close(RequestEnd aEnd)
{
  const std::scoped_lock lock(this->mutex);
  ++this->ends[static_cast<std::size_t>(aEnd)];
  --this->open;
}

void
RequestLedger::Lose()
{
  const std::scoped_lock lock(this->mutex);
  ++this->lost;
  --this->open;
}

std::int64_t
RequestLedger::OpenNow() const
{
  const std::scoped_lock lock(this->mutex);
  return this->open;
}

std::string
RequestLedger::Format() const
{
  const std::scoped_lock lock(this->mutex);
  std::string text = "# TYPE plantainslip_requests_accepted_total counter\n";
  text += "plantainslip_requests_accepted_total " + std::to_string(this->opened) + "\n";
  text += "# TYPE plantainslip_requests_ended_total counter\n";
  for (std::size_t end = 0; end < kRequestEnds; ++end) {
    text += "plantainslip_requests_ended_total{end=\"" + std::string(kEndNames[end]) + "\"} " +
            std::to_string(this->ends[end]) + "\n";
  }
  text += "# TYPE plantainslip_requests_lost_total counter\n";
  text += "plantainslip_requests_lost_total " + std::to_string(this->lost) + "\n";
  text += "# TYPE plantainslip_requests_open gauge\n";
  text += "plantainslip_requests_open " + std::to_string(this->open) + "\n";
  return text;
}

} // namespace plantainslip::observe

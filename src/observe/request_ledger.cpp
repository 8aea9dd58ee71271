#include <plantainslip/observe/request_ledger.hpp>

namespace plantainslip::observe {

namespace {

constexpr std::array<const char*, kRequestEnds> kEndNames = { "answered",
                                                              "refused",
                                                              "failed",
                                                              "caller_gone" };

} // namespace

std::int64_t
RequestLedger::OpenNow() const
{
  std::int64_t open = this->opened - this->lost;
  for (const auto& end : this->ends) {
    open -= end;
  }
  return open;
}

std::string
RequestLedger::Format() const
{
  std::string text = "# TYPE plantainslip_requests_accepted_total counter\n";
  text += "plantainslip_requests_accepted_total " + std::to_string(this->opened.load()) + "\n";
  text += "# TYPE plantainslip_requests_ended_total counter\n";
  for (std::size_t end = 0; end < kRequestEnds; ++end) {
    text += "plantainslip_requests_ended_total{end=\"" + std::string(kEndNames[end]) + "\"} " +
            std::to_string(this->ends[end].load()) + "\n";
  }
  text += "# TYPE plantainslip_requests_lost_total counter\n";
  text += "plantainslip_requests_lost_total " + std::to_string(this->lost.load()) + "\n";
  text += "# TYPE plantainslip_requests_open gauge\n";
  text += "plantainslip_requests_open " + std::to_string(this->OpenNow()) + "\n";
  return text;
}

} // namespace plantainslip::observe

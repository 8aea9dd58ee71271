#include "path_metrics.hpp"

namespace plantainslip::serving {

void
PathMetrics::Count(const std::string& aName, const std::string& aLabel)
{
  const std::scoped_lock lock(this->mutex);
  ++this->counters[aName][aLabel];
}

void
PathMetrics::Set(const std::string& aName, const std::string& aLabel, std::uint64_t aValue)
{
  const std::scoped_lock lock(this->mutex);
  this->labelledGauges[aName][aLabel] = aValue;
}

void
PathMetrics::AppendValues(std::string& aText, const Values& aValues, const std::string& aType)
{
  for (const auto& [name, labels] : aValues) {
    aText.append("# TYPE plantainslip_").append(name).append(" ").append(aType).append("\n");
    for (const auto& [label, value] : labels) {
      aText.append("plantainslip_").append(name).append("{kind=\"").append(label).append("\"} ");
      aText.append(std::to_string(value)).append("\n");
    }
  }
}

void
PathMetrics::Set(const std::string& aName, std::uint64_t aValue)
{
  const std::scoped_lock lock(this->mutex);
  this->gauges[aName] = aValue;
}

std::string
PathMetrics::Format() const
{
  std::string text = this->firstEvent.Format("plantainslip_first_event_seconds") +
                     this->wholeAnswer.Format("plantainslip_whole_answer_seconds") +
                     this->prefillCall.Format("plantainslip_prefill_call_seconds");
  const std::scoped_lock lock(this->mutex);
  AppendValues(text, this->counters, "counter");
  AppendValues(text, this->labelledGauges, "gauge");
  for (const auto& [name, value] : this->gauges) {
    text.append("# TYPE plantainslip_").append(name).append(" gauge\nplantainslip_").append(name);
    text.append(" ").append(std::to_string(value)).append("\n");
  }
  return text;
}

} // namespace plantainslip::serving

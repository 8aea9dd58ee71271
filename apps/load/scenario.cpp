#include "scenario.hpp"

#include <cmath>
#include <limits>

#include <nlohmann/json.hpp>

#include <plantainslip/core/random.hpp>

namespace plantainslip::load {

namespace {

using nlohmann::json;

constexpr double kMostSeconds = 86'400.0;
constexpr double kMostRequestsPerSecond = 100'000.0;
constexpr std::uint64_t kMostTokens = 1'000'000;
constexpr std::uint64_t kMostCount = 1'000'000;
constexpr std::uint64_t kMostDeadlineMs = 3'600'000;
constexpr std::int64_t kMostPriority = 10;
constexpr std::uint64_t kVocabulary = 10'000;

// Reads the fields of one object and keeps the first problem, so that a reader is one line a field.
class FieldReader
{
public:
  FieldReader(const json& aObject, std::string aWhere)
    : object(aObject)
    , where(std::move(aWhere))
  {
    if (!aObject.is_object()) {
      this->Fail("", "must be an object");
    }
  }

  template<typename Number>
  void ReadNumber(const std::string& aName, Number& aValue, Number aLeast, Number aMost)
  {
    const json value = this->Take(aName);
    if (value.is_null()) {
      return;
    }
    const bool inRange = value.is_number() && value.get<double>() >= static_cast<double>(aLeast) &&
                         value.get<double>() <= static_cast<double>(aMost);
    if (!inRange || (std::is_integral_v<Number> && !value.is_number_integer())) {
      this->Fail(aName, "is " + value.dump() + ", outside " + ToText(aLeast, aMost));
      return;
    }
    aValue = value.get<Number>();
  }

  void ReadRange(const std::string& aName, Range& aValue, std::uint64_t aMost)
  {
    const json value = this->Take(aName);
    if (value.is_null()) {
      return;
    }
    const bool pair = value.is_array() && value.size() == 2 && value[0].is_number_unsigned() &&
                      value[1].is_number_unsigned();
    if (!pair || value[0].get<std::uint64_t>() < 1 || value[0] > value[1] || value[1] > aMost) {
      this->Fail(aName, "is " + value.dump() + ", not [least, most] of 1 to " + ToText(aMost));
      return;
    }
    aValue = { value[0].get<std::uint64_t>(), value[1].get<std::uint64_t>() };
  }

  void ReadText(const std::string& aName, std::string& aValue)
  {
    const json value = this->Take(aName);
    if (!value.is_string() || value.get<std::string>().empty()) {
      this->Fail(aName, "must be a text that is not empty");
      return;
    }
    aValue = value.get<std::string>();
  }

  // Tells what is wrong, also of fields that nothing has read, which are spelling mistakes.
  absl::Status Finish()
  {
    if (this->problem.ok() && this->object.is_object()) {
      for (const auto& [name, value] : this->object.items()) {
        if (!this->taken.contains(name)) {
          this->Fail(name, "is not a field of a scenario");
        }
      }
    }
    return this->problem;
  }

  json Take(const std::string& aName)
  {
    this->taken[aName] = true;
    return this->object.is_object() && this->object.contains(aName) ? this->object.at(aName)
                                                                    : json();
  }

  void Fail(const std::string& aName, const std::string& aWhat)
  {
    if (this->problem.ok()) {
      this->problem = absl::InvalidArgumentError(this->where + "/" + aName + " " + aWhat);
    }
  }

private:
  template<typename Number>
  static std::string ToText(Number aNumber)
  {
    return json(aNumber).dump();
  }

  template<typename Number>
  static std::string ToText(Number aLeast, Number aMost)
  {
    return ToText(aLeast) + " to " + ToText(aMost);
  }

  const json& object;
  std::string where;
  json taken = json::object();
  absl::Status problem;
};

absl::StatusOr<Phase>
ParsePhase(const json& aLine, std::size_t aNumber)
{
  FieldReader reader(aLine, "phases/" + std::to_string(aNumber));
  Phase phase;
  reader.ReadText("name", phase.name);
  reader.ReadNumber("seconds", phase.seconds, 0.001, kMostSeconds);
  reader.ReadNumber("requests_per_second", phase.requestsPerSecond, 0.001, kMostRequestsPerSecond);
  reader.ReadRange("prompt_tokens", phase.promptTokens, kMostTokens);
  reader.ReadRange("output_tokens", phase.outputTokens, kMostTokens);
  reader.ReadNumber("shared_prefixes", phase.sharedPrefixes, std::uint64_t{ 0 }, kMostCount);
  reader.ReadNumber("shared_share", phase.sharedShare, 0.0, 1.0);
  reader.ReadNumber("deadline_ms", phase.deadlineMs, std::uint64_t{ 1 }, kMostDeadlineMs);
  reader.ReadRange("workspaces", phase.workspaces, kMostCount);
  reader.ReadNumber("least_priority", phase.leastPriority, -kMostPriority, kMostPriority);
  reader.ReadNumber("most_priority", phase.mostPriority, phase.leastPriority, kMostPriority);
  if (const absl::Status read = reader.Finish(); !read.ok()) {
    return read;
  }
  return phase;
}

std::uint64_t
Draw(const Range& aRange, core::RandomSource& aRandom)
{
  return aRange.least + aRandom.Below(aRange.most - aRange.least + 1);
}

void
AppendWords(std::string& aText, std::uint64_t aWords, core::RandomSource& aRandom)
{
  for (std::uint64_t word = 0; word < aWords; ++word) {
    aText += "p" + std::to_string(aRandom.Below(kVocabulary)) + " ";
  }
}

std::string
MakePrompt(const Phase& aPhase, core::RandomSource& aRandom)
{
  const std::uint64_t length = Draw(aPhase.promptTokens, aRandom);
  std::uint64_t shared = 0;
  std::string prompt;
  if (aPhase.sharedPrefixes > 0) {
    shared = static_cast<std::uint64_t>(aPhase.sharedShare * static_cast<double>(length));
    core::RandomSource beginning(aRandom.Below(aPhase.sharedPrefixes));
    AppendWords(prompt, shared, beginning);
  }
  AppendWords(prompt, length - shared, aRandom);
  return prompt;
}

PlannedRequest
PlanRequest(const Phase& aPhase, core::RandomSource& aRandom)
{
  const auto priorities =
    static_cast<std::uint64_t>(aPhase.mostPriority - aPhase.leastPriority) + 1;
  PlannedRequest planned;
  planned.prompt = MakePrompt(aPhase, aRandom);
  planned.outputTokens = Draw(aPhase.outputTokens, aRandom);
  planned.deadlineMs = aPhase.deadlineMs;
  planned.priority = aPhase.leastPriority + static_cast<std::int64_t>(aRandom.Below(priorities));
  planned.workspace = "workspace-" + std::to_string(Draw(aPhase.workspaces, aRandom));
  return planned;
}

} // namespace

absl::StatusOr<Scenario>
ParseScenario(const std::string& aText)
{
  const json text = json::parse(aText, nullptr, false);
  if (!text.is_object()) {
    return absl::InvalidArgumentError("the scenario is not a JSON object");
  }
  FieldReader reader(text, "");
  Scenario scenario;
  reader.ReadText("deployment", scenario.deployment);
  reader.ReadNumber("seed", scenario.seed, std::uint64_t{ 0 }, std::uint64_t{ 1 } << 53U);
  for (const json& name : reader.Take("expected")) {
    scenario.expected.push_back(name.is_string() ? name.get<std::string>() : "");
  }
  const json phases = reader.Take("phases");
  if (!phases.is_array() || phases.empty()) {
    reader.Fail("phases", "must be a list of one phase or more");
  }
  if (scenario.expected.empty()) {
    reader.Fail("expected", "must be a list such as [\"model@version\"]");
  }
  if (const absl::Status read = reader.Finish(); !read.ok()) {
    return read;
  }
  for (const json& line : phases) {
    auto phase = ParsePhase(line, scenario.phases.size());
    if (!phase.ok()) {
      return phase.status();
    }
    scenario.phases.push_back(*std::move(phase));
  }
  return scenario;
}

std::vector<PlannedRequest>
PlanArrivals(const Scenario& aScenario, std::uint64_t aSeed)
{
  core::RandomSource random(aSeed);
  std::vector<PlannedRequest> plan;
  double phaseStart = 0.0;
  for (const Phase& phase : aScenario.phases) {
    double at = phaseStart;
    for (;;) {
      at -= std::log(1.0 - random.Fraction()) / phase.requestsPerSecond;
      if (at >= phaseStart + phase.seconds) {
        break;
      }
      PlannedRequest planned = PlanRequest(phase, random);
      planned.at =
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(at));
      plan.push_back(std::move(planned));
    }
    phaseStart += phase.seconds;
  }
  return plan;
}

} // namespace plantainslip::load

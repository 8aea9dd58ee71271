#include "fault_matrix.hpp"

#include <algorithm>
#include <iostream>

#include <plantainslip/core/random.hpp>

namespace plantainslip::harness {

namespace {

struct Run
{
  std::vector<std::string> steps;
  std::vector<std::string> violations;
};

Run
RunCell(const Scenario& aScenario, const std::vector<PlannedFault>& aPlan)
{
  core::ManualClock clock;
  FaultInjector injector(clock, aPlan);
  Run run;
  run.violations = aScenario(clock, injector);
  run.steps = injector.Steps();
  return run;
}

std::string
Describe(const std::vector<PlannedFault>& aPlan, const std::vector<std::string>& aSteps)
{
  std::string text;
  for (const PlannedFault& planned : aPlan) {
    const std::string step = planned.step < aSteps.size() ? aSteps[planned.step] : "not reached";
    text +=
      FaultName(planned.fault) + " at step " + std::to_string(planned.step) + " (" + step + ") ";
  }
  return text;
}

void
RunAndCount(const Scenario& aScenario,
            const std::vector<PlannedFault>& aPlan,
            MatrixResult& aResult)
{
  const Run run = RunCell(aScenario, aPlan);
  ++aResult.cells;
  for (const std::string& violation : run.violations) {
    aResult.red.push_back(Describe(aPlan, run.steps) + violation);
  }
}

void
Print(const std::string& aName, const MatrixResult& aResult, std::size_t aSteps)
{
  std::cout << "fault matrix " << aName << ": " << aSteps << " steps, " << aResult.cells
            << " cells run, " << aResult.red.size() << " violations\n";
  for (const std::string& line : aResult.red) {
    std::cout << "  red: " << line << "\n";
  }
}

MatrixResult
RunWithoutFaults(const Scenario& aScenario, std::size_t& aSteps)
{
  MatrixResult result;
  const Run plain = RunCell(aScenario, {});
  aSteps = plain.steps.size();
  ++result.cells;
  for (const std::string& violation : plain.violations) {
    result.red.push_back("without faults: " + violation);
  }
  return result;
}

} // namespace

const std::vector<Fault>&
AllFaults()
{
  static const std::vector<Fault> kFaults = { Fault::kCrashBefore, Fault::kCrashAfter,
                                              Fault::kPauseBefore, Fault::kPauseAfter,
                                              Fault::kLostRequest, Fault::kLostAnswer,
                                              Fault::kDuplicate,   Fault::kDelay,
                                              Fault::kPartition };
  return kFaults;
}

std::string
FaultName(Fault aFault)
{
  switch (aFault) {
    case Fault::kCrashBefore:
      return "crash before";
    case Fault::kCrashAfter:
      return "crash after";
    case Fault::kPauseBefore:
      return "pause before";
    case Fault::kPauseAfter:
      return "pause after";
    case Fault::kLostRequest:
      return "lost request";
    case Fault::kLostAnswer:
      return "lost answer";
    case Fault::kDuplicate:
      return "duplicate";
    case Fault::kDelay:
      return "delay";
    case Fault::kPartition:
      return "partition";
    default:
      return "none";
  }
}

FaultInjector::FaultInjector(core::ManualClock& aClock, std::vector<PlannedFault> aPlan)
  : clock(aClock)
  , plan(std::move(aPlan))
{
}

void
FaultInjector::OnPause(std::function<void()> aOthers)
{
  this->others = std::move(aOthers);
}

void
FaultInjector::Heal()
{
  this->partitioned = false;
}

void
FaultInjector::Finish()
{
  this->finished = true;
  this->partitioned = false;
}

Fault
FaultInjector::Begin(const std::string& aLabel)
{
  if (this->finished || this->pausing) {
    return Fault::kNone;
  }
  const std::size_t step = this->steps.size();
  this->steps.push_back(aLabel);
  const auto planned =
    std::find_if(this->plan.begin(), this->plan.end(), [&](const PlannedFault& aPlanned) {
      return aPlanned.step == step;
    });
  const Fault fault = planned == this->plan.end() ? Fault::kNone : planned->fault;
  if (fault == Fault::kCrashBefore) {
    throw SimulatedCrash();
  }
  if (fault == Fault::kPauseBefore) {
    this->Pause();
  }
  this->partitioned = this->partitioned || fault == Fault::kPartition;
  return this->partitioned ? Fault::kPartition : fault;
}

void
FaultInjector::End(Fault aFault)
{
  if (aFault == Fault::kCrashAfter) {
    throw SimulatedCrash();
  }
  if (aFault == Fault::kPauseAfter) {
    this->Pause();
  }
  if (aFault == Fault::kDelay) {
    this->clock.Advance(kDelay);
  }
}

void
FaultInjector::Pause()
{
  this->clock.Advance(kPause);
  if (this->others) {
    this->pausing = true;
    try {
      this->others();
    } catch (const SimulatedCrash&) {
      // The process was ended while it stood still.
      this->pausing = false;
      throw;
    }
    this->pausing = false;
  }
}

MatrixResult
RunFaultMatrix(const std::string& aName, const Scenario& aScenario)
{
  std::size_t steps = 0;
  MatrixResult result = RunWithoutFaults(aScenario, steps);
  for (std::size_t step = 0; step < steps; ++step) {
    for (const Fault fault : AllFaults()) {
      RunAndCount(aScenario, { { step, fault } }, result);
    }
  }
  Print(aName, result, steps);
  return result;
}

MatrixResult
RunFaultPairs(const std::string& aName,
              std::uint64_t aSeed,
              std::size_t aCells,
              const Scenario& aScenario)
{
  std::size_t steps = 0;
  MatrixResult result = RunWithoutFaults(aScenario, steps);
  core::RandomSource random(aSeed);
  const std::vector<Fault>& faults = AllFaults();
  // A fault makes a run longer, so the second may strike beyond the plain run's last step.
  for (std::size_t cell = 0; cell < aCells && steps > 0; ++cell) {
    const std::vector<PlannedFault> plan = {
      { random.Below(steps), faults[random.Below(faults.size())] },
      { random.Below(2 * steps), faults[random.Below(faults.size())] }
    };
    RunAndCount(aScenario, plan, result);
  }
  Print(aName + " in pairs, seed " + std::to_string(aSeed), result, steps);
  return result;
}

} // namespace plantainslip::harness

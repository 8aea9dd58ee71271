#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <plantainslip/core/clock.hpp>

namespace plantainslip::harness {

/// @brief What befalls one call that the code under test makes of a port.
enum class Fault
{
  kNone,
  /// @brief The process dies before the call is sent.
  kCrashBefore,
  /// @brief The process dies after the call took effect, before it sees the answer.
  kCrashAfter,
  /// @brief The process stands still past its lease before the call is sent.
  kPauseBefore,
  /// @brief The process stands still past its lease before it sees the answer.
  kPauseAfter,
  /// @brief The call does not arrive; the process sees a timeout.
  kLostRequest,
  /// @brief The call takes effect and the answer is lost.
  kLostAnswer,
  /// @brief The network delivers the call twice.
  kDuplicate,
  /// @brief The call arrives and is answered late, but within the lease.
  kDelay,
  /// @brief This call and all that follow are lost, until the test heals the network.
  kPartition,
};

/// @brief All faults that a matrix plans, in the order of its columns.
const std::vector<Fault>&
AllFaults();

/// @brief Gives a fault's name for reports.
std::string
FaultName(Fault aFault);

/// @brief Thrown through the code under test where its process dies.
struct SimulatedCrash
{};

/// @brief A fault that is planned for one step.
struct PlannedFault
{
  /// @brief Number of the call, counted from zero over all ports of the process under test.
  std::size_t step = 0;
  Fault fault = Fault::kNone;
};

/// @brief Counts the calls that one process makes of its ports and inflicts the planned faults.
/// @note One thread. The fake clock makes every run the same.
class FaultInjector
{
public:
  /// @brief Time that a paused process stands still; longer than any lease of the tests.
  static constexpr std::chrono::seconds kPause{ 60 };
  /// @brief Time that a delayed call takes.
  static constexpr std::chrono::milliseconds kDelay{ 700 };

  /// @brief Plans faults for one run.
  FaultInjector(core::ManualClock& aClock, std::vector<PlannedFault> aPlan);

  /// @brief Sets what the rest of the world does while the process under test stands still, such
  ///        as a second controller's steps.
  void OnPause(std::function<void()> aOthers);

  /// @brief Ends a partition.
  void Heal();

  /// @brief Stops inflicting: the run is over and its end state is being brought about.
  void Finish();

  /// @brief Gives the labels of all calls so far, one each, in order.
  const std::vector<std::string>& Steps() const { return this->steps; }

  /// @brief Passes one call through.
  /// @param aLabel  names the step, such as `store.compare_and_swap orders/a/e1`
  /// @param aCall  makes the call
  /// @param aLost  makes the result of a call whose request (true: certainly not sent) or answer
  ///               is lost
  template<typename Result>
  Result Pass(const std::string& aLabel,
              const std::function<Result()>& aCall,
              const std::function<Result()>& aLost)
  {
    const Fault fault = this->Begin(aLabel);
    if (fault == Fault::kLostRequest || fault == Fault::kPartition) {
      return aLost();
    }
    Result result = aCall();
    if (fault == Fault::kDuplicate) {
      // The second copy arrives later; the process sees the answer of the first.
      (void)aCall();
    }
    this->End(fault);
    return fault == Fault::kLostAnswer ? aLost() : std::move(result);
  }

private:
  Fault Begin(const std::string& aLabel);
  void End(Fault aFault);
  void Pause();

  core::ManualClock& clock;
  std::vector<PlannedFault> plan;
  std::function<void()> others;
  std::vector<std::string> steps;
  bool partitioned = false;
  bool finished = false;
  bool pausing = false;
};

/// @brief Runs one operation under the faults of the injector, to its end state.
/// @return every promise that was broken, as read from the run's history; empty if none was
using Scenario = std::function<std::vector<std::string>(core::ManualClock&, FaultInjector&)>;

/// @brief What a matrix found.
struct MatrixResult
{
  std::size_t cells = 0;
  /// @brief One line for each red cell: step, fault and broken promise.
  std::vector<std::string> red;
};

/// @brief Runs a scenario once without faults to learn its steps, then once for every fault at
///        every step, and prints cells, passes and reds. Steps come from the calls themselves, so a
///        new step cannot be left out.
/// @param aName  name of the operation
MatrixResult
RunFaultMatrix(const std::string& aName, const Scenario& aScenario);

/// @brief Runs a scenario under random pairs of faults.
/// @param aName  name of the operation
/// @param aSeed  the same seed gives the same pairs
/// @param aCells  number of pairs
MatrixResult
RunFaultPairs(const std::string& aName,
              std::uint64_t aSeed,
              std::size_t aCells,
              const Scenario& aScenario);

} // namespace plantainslip::harness

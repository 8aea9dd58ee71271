#pragma once

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include <plantainslip/net/address.hpp>

namespace plantainslip::harness {

/// @brief A process that a test starts and that is killed, if need be, when the test ends.
/// @note The system's own processes start none; only tests do.
class ChildProcess
{
public:
  /// @brief Starts a program and waits until it prints where it listens.
  /// @param aProgram  path below the build folder
  /// @param aArguments  its flags
  /// @param aListens  whether the program prints an address; if not, nothing is waited for
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               bool aListens = true);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// @brief Gives the address that the program printed.
  const net::Address& ListeningAddress() const { return this->address; }

  /// @brief Gives the address for peers that an entry instance printed; port 0 for others.
  net::Address PeerAddress() const;

  /// @brief Gives the process's id, to read what it uses.
  pid_t Id() const { return this->pid; }

  /// @brief Sends a signal.
  void Signal(int aSignal) const;

  /// @brief Waits until the process has been stopped by a signal, such as SIGSTOP.
  void AwaitStopped() const;

  /// @brief Returns whether the process has not ended.
  bool IsRunning();

  /// @brief Waits for the end of the process.
  /// @return its exit code, or 128 and the signal that ended it
  int WaitForExit();

  /// @brief Waits until all that the process has printed was read. For a process that has ended.
  void AwaitOutputEnd() const;

  /// @brief Gives what the process has printed so far.
  std::string Output() const;

private:
  void ReadOutput(int aPipe);
  void AwaitAddress();

  struct Shared;
  pid_t pid = 0;
  bool exited = false;
  net::Address address;
  std::shared_ptr<Shared> shared;
};

/// @brief Waits until a condition holds; fails the test after half a minute.
/// @param aWhat  named in the failure
void
Await(const std::string& aWhat, const std::function<bool()>& aCondition);

} // namespace plantainslip::harness

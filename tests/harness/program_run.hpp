#pragma once

#include <string>
#include <vector>

#include "child_process.hpp"

namespace plantainslip::harness {

/// @brief What a program left behind that ran to its end.
struct ProgramRun
{
  int exitCode = -1;
  std::string output;
};

/// @brief Runs a program of the build folder to its end.
/// @param aProgram  path below the build folder
inline ProgramRun
RunProgram(const std::string& aProgram, const std::vector<std::string>& aArguments)
{
  std::string output;
  int exitCode = 0;
  {
    ChildProcess process(aProgram, aArguments, false);
    exitCode = process.WaitForExit();
    process.AwaitOutputEnd();
    output = process.Output();
  }
  return { exitCode, output };
}

} // namespace plantainslip::harness

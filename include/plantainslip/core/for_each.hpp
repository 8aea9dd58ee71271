#pragma once

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace plantainslip::core {

/// @brief Calls a function for each index below a count, on several threads, and waits for all.
/// @param aCount  number of calls
/// @param aThreads  most calls at once; with one, all run in order on the calling thread
/// @param aCall  takes the index; with several threads it must not throw
template<typename Call>
void
ForEachIndex(std::size_t aCount, std::size_t aThreads, const Call& aCall)
{
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t index = next++; index < aCount; index = next++) {
      aCall(index);
    }
  };
  std::vector<std::jthread> helpers;
  for (std::size_t thread = 1; thread < std::min(aThreads, aCount); ++thread) {
    helpers.emplace_back(work);
  }
  work();
}

} // namespace plantainslip::core

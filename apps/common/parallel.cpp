#include "parallel.hpp"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace plantainslip::apps {

void
ForEachInParallel(std::size_t aCount,
                  std::size_t aThreads,
                  const std::function<void(std::size_t)>& aCall)
{
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t number = next++; number < aCount; number = next++) {
      aCall(number);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < std::min(aCount, aThreads); ++thread) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace plantainslip::apps

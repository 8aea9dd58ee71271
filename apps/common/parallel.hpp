#pragma once

#include <cstddef>
#include <functional>

namespace plantainslip::apps {

/// @brief Calls a function for every number below a count, on a few threads, and waits for all.
/// @param aCount  calls it with 0 to aCount - 1, each once
/// @param aThreads  most calls at the same time
/// @param aCall  safe from any thread
void
ForEachInParallel(std::size_t aCount,
                  std::size_t aThreads,
                  const std::function<void(std::size_t)>& aCall);

} // namespace plantainslip::apps

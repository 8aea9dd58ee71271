#pragma once

#include <plantainslip/serving/load_book.hpp>

namespace plantainslip::serving {

/// @brief Decides whether a prompt is sent to its engine now or waits at this instance.
///
/// Answers bursts of long prompts: an engine shares its steps among all prompts that it has
/// admitted, so a long queue there delays even the most urgent. What can wait is kept back while
/// the engine has enough to do, and is placed anew when it goes.
/// @param aQueued  tokens that the engine has still to read, of all priorities
/// @param aPriority  priority of the prompt
/// @return true if it is to be sent; constant time
bool
SendsNow(double aQueued, std::size_t aPriority);

} // namespace plantainslip::serving

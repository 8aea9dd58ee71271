#pragma once

#include <plantainslip/serving/load_tracker.hpp>

namespace plantainslip::serving {

/// @brief Decides whether a prompt is sent to its engine now or queued at this instance.
///
/// Handles bursts of long prompts: an engine shares its steps among all prompts that it has
/// admitted, so a long queue there delays even the most urgent ones. Prompts that can wait are held
/// back while the engine has enough work, and are placed again when they are sent.
/// @param aQueued  prompt tokens queued at the engine, of all priorities
/// @param aPriority  priority of the prompt
/// @return true if the prompt is sent now; constant time
bool
ShouldDispatchNow(double aQueued, std::size_t aPriority);

} // namespace plantainslip::serving

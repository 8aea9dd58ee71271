#pragma once

#include <optional>

#include <plantainslip/serving/placement.hpp>

namespace plantainslip::serving {

/// @brief Decides whether a completion is refused at once, and when the caller may come back.
///
/// Answers bursts over the capacity: a prompt that would wait so long that its caller is served
/// late, or leaves, makes no room for one that can still be on time. What counts is the wait alone,
/// so that a long prompt is not refused for its own length.
/// @param aPlace  the best place that there is
/// @param aElapsed  time since the caller sent the request
/// @return the wait to tell the caller, or nothing if the request is admitted; constant time
std::optional<milliseconds>
DecideRefusal(const Route& aRoute, const PrefillPlace& aPlace, milliseconds aElapsed);

} // namespace plantainslip::serving

#pragma once

#include <optional>

#include <plantainslip/serving/placement.hpp>

namespace plantainslip::serving {

/// @brief Decides whether a completion is refused at once, and when the caller may come back.
///
/// Answers bursts over the capacity: a prompt whose caller would leave before the first event is
/// refused, since its reading would be in vain. One that is only late is served: a caller that is
/// sent away and comes back is later still, and late prompts yield to those that can be on time.
/// @param aPlace  the best place that there is
/// @param aElapsed  time since the caller sent the request
/// @return the wait to tell the caller, or nothing if the request is admitted; constant time
std::optional<milliseconds>
DecideRefusal(const Route& aRoute, const PrefillPlace& aPlace, milliseconds aElapsed);

} // namespace plantainslip::serving

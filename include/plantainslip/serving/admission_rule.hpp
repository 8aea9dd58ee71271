#pragma once

#include <optional>

#include <plantainslip/serving/placement.hpp>

namespace plantainslip::serving {

/// @brief Decides whether a completion is refused immediately, and after what delay the caller may
///        retry.
///
/// Handles bursts above capacity: a prompt is refused if its caller would disconnect before the
/// first event, since the prefill would be wasted. A prompt that will only be late is served: a
/// retry would be later still, and late prompts get a lower priority than those that can be on
/// time.
/// @param aPlace  the best available placement
/// @param aElapsed  time since the caller sent the request
/// @return the retry delay for the caller, or nothing if the request is admitted; constant time
std::optional<milliseconds>
RefusalRetryDelay(const Route& aRoute, const PrefillPlacement& aPlace, milliseconds aElapsed);

/// @brief Returns the retry delay of a refusal: the expected wait within a quarter, spread so that
///        callers that were refused together do not return together, and at most a third of the
///        time that the caller has left, as it gives up otherwise.
/// @param aSeed  any number that differs between requests
/// @return the delay; constant time
milliseconds
SpreadRetryDelay(milliseconds aWait, milliseconds aTimeLeft, std::uint64_t aSeed);

/// @brief Decides whether an instance that is shutting down still accepts a request.
///
/// Handles rolling restarts, in which the load balancer still sends new connections to instances
/// that are not ready: a request that may not finish before the process exits is refused as not
/// run.
/// @param aSinceStop  time since the stop signal
/// @param aUntilEnd  time left until the process exits at the latest
/// @return true if the request is accepted; constant time
bool
AcceptDuringShutdown(const Route& aRoute, milliseconds aSinceStop, milliseconds aUntilEnd);

} // namespace plantainslip::serving

#pragma once

namespace plantainslip::apps {

/// @brief Blocks SIGTERM and SIGINT in this thread and all that it starts, so that one thread can
///        wait for them. Ignores SIGPIPE. Call before other threads start.
void
BlockStopSignals();

/// @brief Waits for SIGTERM or SIGINT.
void
WaitForStopSignal();

/// @brief Waits for SIGTERM or SIGINT, but not for ever.
/// @param aMilliseconds  longest wait
/// @return whether a signal came
bool
WaitForStopSignal(int aMilliseconds);

} // namespace plantainslip::apps

#pragma once

#include <optional>
#include <string_view>

#include <plantainslip/serving/target_protocol.hpp>
#include <plantainslip/workspaces/key_table.hpp>

namespace plantainslip::serving {

/// Once the store's last confirmation is older than this, a route or a key that the configuration
/// lacks may be new, so requests with it get 503 instead of 404 or 401. Below the time in which a
/// configuration has to be in force.
inline constexpr milliseconds kConfirmationLifetime{ 2'500 };

/// @brief Whether a request may run, as far as its key is concerned.
enum class KeyOutcome
{
  /// @brief The configuration has no workspaces: requests need no key.
  kNoWorkspaces,
  /// @brief The route needs no key; the request belongs to no workspace.
  kPublicRoute,
  /// @brief The key is a workspace's.
  kWorkspace,
  /// @brief No workspace has the key, according to a configuration that was confirmed lately.
  kUnauthorized,
  /// @brief The newest configuration may decide differently about the key.
  kUnconfirmed,
};

/// @brief Decision about a request's key.
struct KeyDecision
{
  KeyOutcome outcome = KeyOutcome::kNoWorkspaces;
  /// @brief The key's workspace, which lives as long as the configuration; for kWorkspace only.
  const workspaces::Workspace* workspace = nullptr;
  /// @brief Cause of a refusal, for logs and counters: `key_missing`, `key_malformed`,
  ///        `key_unknown`, `key_unconfirmed` or `revocation_unconfirmed`; empty otherwise.
  std::string_view reason = {};
};

/// @brief Decides whether a request may run with the key that it carries.
///
/// A known key is accepted however old the configuration is, unless there is a revocation bound. A
/// request without a known key is told so only if the configuration is surely the newest, as the
/// key may have been added, or the route made public, since.
/// @param aRoute  the request's route in the configuration
/// @param aConfirmationAge  time since the store last confirmed that the configuration is the
///                          newest
/// @param aRevocationBound  age of the confirmation from which known keys are refused too, as they
///                          may have been revoked; absent if they are accepted
/// @return the decision; linear in the number of header fields
KeyDecision
CheckKey(const ServingConfig& aConfig,
         const Route& aRoute,
         const HeaderList& aHeaders,
         milliseconds aConfirmationAge,
         std::optional<milliseconds> aRevocationBound);

} // namespace plantainslip::serving

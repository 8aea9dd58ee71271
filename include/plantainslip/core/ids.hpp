#pragma once

#include <plantainslip/core/strong_type.hpp>

namespace plantainslip::core {

/// @brief One process of the system, as the platform names it.
using InstanceId = StrongId<struct InstanceIdTag>;
/// @brief One availability zone.
using ZoneId = StrongId<struct ZoneIdTag>;
/// @brief One model engine or plain service.
using TargetId = StrongId<struct TargetIdTag>;
/// @brief One request of a caller, the same over all its attempts.
using RequestId = StrongId<struct RequestIdTag>;
/// @brief The account that a caller's requests are limited by.
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
/// @brief A model deployment, as callers name it in the field `model`.
using DeploymentName = StrongId<struct DeploymentNameTag>;
/// @brief A plain service, as callers name it in the path.
using ServiceName = StrongId<struct ServiceNameTag>;
/// @brief One order to an engine, the same over all times it is sent.
using OrderId = StrongId<struct OrderIdTag>;
/// @brief One patch of the configuration, the same over all times it is submitted.
using PatchId = StrongId<struct PatchIdTag>;
/// @brief A caller's key for a request that may run at most once.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/// @brief Version of the configuration; grows by one with each accepted patch.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// @brief Revision of one value in the platform's store; zero means absent.
using Revision = StrongNumber<struct RevisionTag>;
/// @brief Fencing token of a lease; grows with every grant.
using FencingToken = StrongNumber<struct FencingTokenTag>;
/// @brief Attempt of one request, counted from one.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;
/// @brief Position in an answer, in tokens.
using TokenOffset = StrongNumber<struct TokenOffsetTag>;
/// @brief Amount of text, in tokens.
using TokenCount = StrongNumber<struct TokenCountTag>;

} // namespace plantainslip::core

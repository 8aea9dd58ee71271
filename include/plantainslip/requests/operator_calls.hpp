#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Handles operator calls under `/v1/operator/`: configuration, history, patches, fleet,
///        orders and drains.
/// @param aContext  shared by all requests
/// @param aExchange  the operator's request; refused without the operators' key
void
HandleOperatorCall(RequestContext& aContext, net::HttpExchange& aExchange);

} // namespace plantainslip::requests

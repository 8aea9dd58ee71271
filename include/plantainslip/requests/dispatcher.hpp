#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Routes a request to the handler for its path.
/// @param aContext  shared by all requests
/// @param aExchange  the request
void
Dispatch(RequestContext& aContext, net::HttpExchange& aExchange);

} // namespace plantainslip::requests

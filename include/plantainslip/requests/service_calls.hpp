#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Answers `POST /v1/services/NAME/...`: forwards a call to a target of the plain service.
///        A call that must not be repeated is claimed first and sent once.
/// @param aContext  shared by all requests
/// @param aExchange  the caller's request
/// @param aRequest  identifier assigned to the request
/// @return how the request ended
observe::RequestEnd
HandleServiceCall(RequestContext& aContext,
                  net::HttpExchange& aExchange,
                  const core::RequestId& aRequest);

} // namespace plantainslip::requests

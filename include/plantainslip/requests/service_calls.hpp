#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Answers `POST /v1/services/NAME/...`: hands a call on to a target of the plain service.
///        A call that may not be repeated is claimed first and sent once.
/// @param aContext  shared by all requests
/// @param aExchange  the caller's request
/// @param aRequest  identifier given to it
/// @return the one end that the request came to
observe::RequestEnd
HandleServiceCall(RequestContext& aContext,
                  net::HttpExchange& aExchange,
                  const core::RequestId& aRequest);

} // namespace plantainslip::requests

#pragma once

#include <plantainslip/net/http_server.hpp>
#include <plantainslip/requests/context.hpp>

namespace plantainslip::requests {

/// @brief Answers `POST /v1/completions`: reads the request, chooses engines, and hands on the
///        tokens until the end marker. An engine that is lost in mid-answer is followed by another
///        from the exact offset.
/// @param aContext  shared by all requests
/// @param aExchange  the caller's request
/// @param aRequest  identifier given to it
/// @return the one end that the request came to
observe::RequestEnd
HandleCompletion(RequestContext& aContext,
                 net::HttpExchange& aExchange,
                 const core::RequestId& aRequest);

} // namespace plantainslip::requests

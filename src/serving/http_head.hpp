#pragma once

#include <string>

#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Returns whether a header field is hop-by-hop, that is, concerns only one connection.
/// @param aHeaders  all fields; those named in `Connection` are hop-by-hop too
bool
IsHopByHop(const HeaderList& aHeaders, std::string_view aName);

/// @brief Formats the head of a request.
/// @param aBodyBytes  length of the body; a length of zero is omitted for methods without a body
std::string
FormatRequestHead(std::string_view aMethod,
                  std::string_view aTarget,
                  const HeaderList& aHeaders,
                  std::size_t aBodyBytes);

/// @brief Formats the head of a response, up to and including the empty line.
std::string
FormatResponseHead(int aStatus, const HeaderList& aHeaders);

} // namespace plantainslip::serving

#pragma once

#include <string>

#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Tells whether a header field concerns only one connection.
/// @param aHeaders  all fields; those that `Connection` names concern one connection too
bool
IsHopByHop(const HeaderList& aHeaders, std::string_view aName);

/// @brief Writes the head of a request.
/// @param aBodyBytes  length of the body; a length of zero is left out for methods without a body
std::string
FormatRequestHead(std::string_view aMethod,
                  std::string_view aTarget,
                  const HeaderList& aHeaders,
                  std::size_t aBodyBytes);

/// @brief Writes the head of an answer, up to and including the empty line.
std::string
FormatAnswerHead(int aStatus, const HeaderList& aHeaders);

} // namespace plantainslip::serving

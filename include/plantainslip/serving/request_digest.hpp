#pragma once

#include <string_view>

#include <plantainslip/core/ids.hpp>
#include <plantainslip/serving/target_protocol.hpp>

namespace plantainslip::serving {

/// @brief Identifies a request across the attempts in which its caller repeats it.
using RequestDigest = core::StrongNumber<struct RequestDigestTag>;

/// @brief Digests what a caller's attempts of one request have in common: the method, the path and
///        query, the host, the caller and the body. Request ids, deadlines and other header fields
///        differ between attempts. Linear in the length of these.
/// @param aCaller  workspace of the caller, or the credentials that it presents
RequestDigest
DigestRequest(std::string_view aMethod,
              std::string_view aTarget,
              const HeaderList& aHeaders,
              std::string_view aCaller,
              std::string_view aBody);

} // namespace plantainslip::serving

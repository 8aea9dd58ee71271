#include <plantainslip/routing/rendezvous.hpp>

#include <xxhash.h>

namespace plantainslip::routing {

std::uint64_t
RendezvousWeight(const core::TargetId& aTarget, std::uint64_t aKey)
{
  return XXH64(aTarget.Text().data(), aTarget.Text().size(), aKey);
}

} // namespace plantainslip::routing

#include <plantainslip/serving/fleet.hpp>

#include <xxhash.h>

namespace plantainslip::serving {

namespace {

constexpr double kHashBuckets = 1'000'000.0;

} // namespace

const Route*
FindRoute(const ServingConfig& aConfig, std::string_view aHost, std::string_view aPath)
{
  const Route* best = nullptr;
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const Route& route : aConfig.routes) {
    const bool matches = route.host == aHost && path.starts_with(route.prefix);
    if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Service*
ChooseService(const ServingConfig& aConfig, const Route& aRoute, std::string_view aKey)
{
  double total = 0.0;
  for (const WeightedService& weighted : aRoute.services) {
    total += weighted.weight;
  }
  const std::uint64_t hash = XXH64(aKey.data(), aKey.size(), 0);
  double point =
    total * static_cast<double>(hash % static_cast<std::uint64_t>(kHashBuckets)) / kHashBuckets;
  for (const WeightedService& weighted : aRoute.services) {
    point -= weighted.weight;
    if (point < 0.0) {
      const auto found = aConfig.services.find(weighted.service);
      return found == aConfig.services.end() ? nullptr : &found->second;
    }
  }
  return nullptr;
}

} // namespace plantainslip::serving

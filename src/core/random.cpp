#include <plantainslip/core/random.hpp>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace plantainslip::core {

std::uint64_t
MakeSeed()
{
  std::random_device device;
  constexpr unsigned kHalfWidth = 32;
  return (static_cast<std::uint64_t>(device()) << kHalfWidth) | device();
}

std::string
MakeUniqueName()
{
  thread_local boost::uuids::random_generator generator;
  return boost::uuids::to_string(generator());
}

} // namespace plantainslip::core

#include <plantainslip/observe/latency_histogram.hpp>

#include <cmath>
#include <mutex>

#include <boost/histogram.hpp>

namespace plantainslip::observe {

namespace {

namespace histogram = boost::histogram;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned kBins = 280;
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 1e3;

auto
MakeBins()
{
  return histogram::make_histogram(LogAxis(kBins, kLeastSeconds, kMostSeconds, "seconds"));
}

std::chrono::nanoseconds
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

struct LatencyHistogram::State
{
  mutable std::mutex mutex;
  decltype(MakeBins()) bins = MakeBins();
  std::uint64_t count = 0;
  double sumSeconds = 0.0;
};

LatencyHistogram::LatencyHistogram()
  : state(std::make_unique<State>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Record(std::chrono::nanoseconds aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  const std::scoped_lock lock(this->state->mutex);
  this->state->bins(seconds);
  ++this->state->count;
  this->state->sumSeconds += seconds;
}

std::uint64_t
LatencyHistogram::Count() const
{
  const std::scoped_lock lock(this->state->mutex);
  return this->state->count;
}

std::chrono::nanoseconds
LatencyHistogram::Quantile(double aShare) const
{
  const std::scoped_lock lock(this->state->mutex);
  const double wanted = std::ceil(aShare * static_cast<double>(this->state->count));
  double seen = 0.0;
  for (const auto& bin : histogram::indexed(this->state->bins, histogram::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen >= wanted && wanted > 0.0) {
      const double edge = bin.bin().upper();
      return FromSeconds(std::isfinite(edge) ? edge : kMostSeconds);
    }
  }
  return std::chrono::nanoseconds(0);
}

std::string
LatencyHistogram::Format(const std::string& aName) const
{
  const std::scoped_lock lock(this->state->mutex);
  std::string text = "# TYPE " + aName + " histogram\n";
  double seen = 0.0;
  for (const auto& bin : histogram::indexed(this->state->bins, histogram::coverage::all)) {
    seen += static_cast<double>(*bin);
    // Empty bins would make up most of the page, and a cumulative histogram may leave them out.
    if (*bin > 0.0 && std::isfinite(bin.bin().upper())) {
      text += aName + "_bucket{le=\"" + std::to_string(bin.bin().upper()) + "\"} " +
              std::to_string(static_cast<std::uint64_t>(seen)) + "\n";
    }
  }
  text += aName + "_bucket{le=\"+Inf\"} " + std::to_string(this->state->count) + "\n";
  text += aName + "_sum " + std::to_string(this->state->sumSeconds) + "\n";
  text += aName + "_count " + std::to_string(this->state->count) + "\n";
  return text;
}

} // namespace plantainslip::observe

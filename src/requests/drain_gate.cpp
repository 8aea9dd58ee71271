#include <plantainslip/requests/drain_gate.hpp>

namespace plantainslip::requests {

bool
DrainGate::Enter()
{
  const std::scoped_lock lock(this->mutex);
  if (this->open) {
    ++this->inFlight;
  }
  return this->open;
}

void
DrainGate::Leave()
{
  const std::scoped_lock lock(this->mutex);
  --this->inFlight;
  if (this->inFlight == 0) {
    this->becameEmpty.notify_all();
  }
}

void
DrainGate::Close()
{
  const std::scoped_lock lock(this->mutex);
  this->open = false;
}

bool
DrainGate::IsOpen() const
{
  const std::scoped_lock lock(this->mutex);
  return this->open;
}

void
DrainGate::WaitUntilEmpty()
{
  std::unique_lock lock(this->mutex);
  this->becameEmpty.wait(lock, [this] { return this->inFlight == 0; });
}

} // namespace plantainslip::requests

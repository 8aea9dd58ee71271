// Fuzz target: parsing of an order journal entry read from the store.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <fakes/memory_store.hpp>
#include <plantainslip/authority/order_journal.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength)
{
  const std::string text(aBytes, aBytes + aLength);
  const core::ManualClock clock;
  fakes::MemoryStore store(clock);
  if (!store.CompareAndSwap("orders/zone/target", core::Revision(), text).ok()) {
    return 0;
  }
  authority::OrderJournal journal(store, core::ZoneId("zone"));
  journal.Load().IgnoreError();
  return 0;
}

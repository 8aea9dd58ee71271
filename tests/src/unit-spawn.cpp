#include <doctest/doctest.h>

#include <stdexcept>

#include "spawn.hpp"

using namespace plantainslip;          // NOLINT(google-build-using-namespace)
using namespace plantainslip::serving; // NOLINT(google-build-using-namespace)

TEST_CASE("an unexpected exception")
{
  asio::io_context context;
  int done = 0;
  SUBCASE("of a handler does not keep the others from running")
  {
    asio::post(context, [] { throw std::runtime_error("planted"); });
    asio::post(context, [&] { ++done; });
    RunContext(context, "test");
    CHECK(done == 1);
  }
  SUBCASE("of a coroutine does not affect another one")
  {
    Spawn(context, "throws", []() -> Task<void> {
      co_await SleepFor(std::chrono::milliseconds(1));
      throw std::runtime_error("planted");
    });
    Spawn(context, "goes on", [&]() -> Task<void> {
      co_await SleepFor(std::chrono::milliseconds(5));
      ++done;
    });
    RunContext(context, "test");
    CHECK(done == 1);
  }
  SUBCASE("of a loop starts it again")
  {
    int starts = 0;
    SpawnLoop(context, "loop", [&]() -> Task<void> {
      ++starts;
      co_await SleepFor(std::chrono::milliseconds(1));
      if (starts < 3) {
        throw 7; // An exception of any type.
      }
      ++done;
    });
    RunContext(context, "test");
    CHECK(starts == 3);
    CHECK(done == 1);
  }
}

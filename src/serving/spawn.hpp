#pragma once

#include <exception>
#include <functional>
#include <string>

#include <plantainslip/core/log.hpp>

#include "cancellation.hpp"

namespace plantainslip::serving {

/// @brief Returns the text of an exception, which may be of any type.
inline std::string
DescribeException(const std::exception_ptr& aError)
{
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "exception of an unknown type";
  }
}

/// @brief Logs an exception that ended an operation.
/// @param aOperation  name of the operation that was ended
inline void
LogUnexpectedException(const std::string& aOperation, const std::exception_ptr& aError)
{
  core::Log(core::LogLevel::kError,
            "unexpected exception",
            { { "operation", aOperation }, { "error", DescribeException(aError) } });
}

/// @brief Starts a coroutine. An exception that leaves it is logged and affects no other coroutine.
template<typename Executor>
void
Spawn(Executor& aExecutor, std::string aName, std::function<Task<void>()> aCoroutine)
{
  asio::co_spawn(
    aExecutor, std::move(aCoroutine), [name = std::move(aName)](const std::exception_ptr& aError) {
      if (aError != nullptr) {
        LogUnexpectedException(name, aError);
      }
    });
}

/// @brief Delay until a loop that ended by an exception is started again.
inline constexpr std::chrono::milliseconds kLoopRestartDelay{ 100 };

/// @brief Runs a loop, and starts it again if an exception ends it.
inline Task<void>
RunLoop(std::string aName, std::function<Task<void>()> aLoop)
{
  while (true) {
    std::exception_ptr error;
    try {
      co_await aLoop();
    } catch (...) {
      error = std::current_exception();
    }
    if (error == nullptr) {
      co_return;
    }
    LogUnexpectedException(aName, error);
    co_await SleepFor(kLoopRestartDelay);
  }
}

/// @brief Starts a loop that the process cannot do without: an exception is logged, and the loop
///        starts again.
template<typename Executor>
void
SpawnLoop(Executor& aExecutor, std::string aName, std::function<Task<void>()> aLoop)
{
  asio::co_spawn(
    aExecutor,
    [name = std::move(aName), loop = std::move(aLoop)]() -> Task<void> {
      return RunLoop(name, loop);
    },
    asio::detached);
}

/// @brief Runs a context until it is stopped. An exception of a handler is logged; the other
///        handlers go on.
inline void
RunContext(asio::io_context& aContext, const std::string& aName)
{
  while (true) {
    try {
      aContext.run();
      return;
    } catch (...) {
      LogUnexpectedException(aName, std::current_exception());
    }
  }
}

} // namespace plantainslip::serving

#pragma once

#include <map>
#include <string>
#include <vector>

#include "sample.hpp"

namespace plantainslip::report {

/// @brief What became of the requests that one instance accepted, over all its readings.
struct Account
{
  std::string instance;
  std::string zone;
  std::uint64_t accepted = 0;
  std::array<std::uint64_t, observe::kRequestEnds> ends{};
  std::uint64_t open = 0;
  /// @brief Dropped by the instance without an end.
  std::uint64_t lost = 0;
  /// @brief Open when the instance was last seen before it restarted or went.
  std::uint64_t endUnknown = 0;
};

/// @brief Accounts of all instances.
struct Accounts
{
  std::vector<Account> instances;
  Account total;
  /// @brief One line for each difference; empty if every request is accounted for.
  std::vector<std::string> differences;
};

/// @brief Follows every accepted request to its one end.
/// @param aSamples  readings of all instances, oldest first
/// @return the accounts; linear in the number of readings
Accounts
DrawUpAccounts(const std::vector<InstanceSample>& aSamples);

} // namespace plantainslip::report

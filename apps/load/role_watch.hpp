#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <plantainslip/net/address.hpp>

namespace plantainslip::load {

/// @brief Counts role changes from successive lists of targets. No I/O, one thread.
/// @note Linear in the number of targets; no errors.
class RoleChanges
{
public:
  /// @brief Takes the answer of `GET /v1/operator/fleet`. Text that cannot be read is ignored.
  /// @param aInstance  instance that answered; each lags by itself, so they are kept apart
  void Take(const std::string& aInstance, const std::string& aFleet);

  /// @brief Gives the number of changes: for each target, the most that one instance has seen.
  std::int64_t Count() const;

private:
  struct Seen
  {
    std::string role;
    std::int64_t changes = 0;
  };

  /// By target, then by instance.
  std::map<std::string, std::map<std::string, Seen>> targets;
};

/// @brief Asks entry instances for their targets once a second on a thread of its own.
class RoleWatch
{
public:
  virtual ~RoleWatch() = default;

  /// @brief Starts to watch.
  /// @param aEntries  entry instances
  /// @param aOperatorKey  key that proves an operator
  static std::unique_ptr<RoleWatch> Start(std::vector<net::Address> aEntries,
                                          std::string aOperatorKey);

  /// @brief Stops the thread.
  /// @return the number of role changes seen
  virtual std::int64_t Stop() = 0;
};

} // namespace plantainslip::load

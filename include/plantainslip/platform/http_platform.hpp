#pragma once

#include <memory>

#include <plantainslip/net/address.hpp>
#include <plantainslip/platform/instance_list.hpp>
#include <plantainslip/platform/store.hpp>

namespace plantainslip::platform {

/// @brief Connects the store's port to the platform's HTTP service.
/// @param aAddress  where the service listens
/// @param aTimeout  longest wait for an answer
/// @return the store; no call is made yet
std::unique_ptr<Store>
MakeHttpStore(net::Address aAddress, std::chrono::milliseconds aTimeout);

/// @brief Connects the instance list's port to the platform's HTTP service.
/// @param aAddress  where the service listens
/// @param aTimeout  longest wait for an answer
/// @return the list; no call is made yet
std::unique_ptr<InstanceList>
MakeHttpInstanceList(net::Address aAddress, std::chrono::milliseconds aTimeout);

} // namespace plantainslip::platform

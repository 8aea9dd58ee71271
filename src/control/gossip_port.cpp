#include "gossip_port.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <plantainslip/core/random.hpp>
#include <plantainslip/membership/errors.hpp>

namespace plantainslip::control {

namespace asio = boost::asio;

GossipPort::GossipPort(asio::io_context& aContext,
                       membership::MembershipOptions aOptions,
                       std::string aKey,
                       const core::Clock& aClock)
  : options(aOptions)
  , key(std::move(aKey))
  , clock(aClock)
  , state(std::move(aOptions), core::MakeSeed(), aClock.Now())
  , socket(aContext)
  , timer(aContext)
{
}

absl::Status
GossipPort::Open()
{
  const net::Address& address = this->options.self.address;
  boost::system::error_code failure;
  const asio::ip::udp::endpoint endpoint(asio::ip::make_address(address.host, failure),
                                         address.port);
  if (!failure) {
    this->socket.open(endpoint.protocol(), failure);
  }
  if (!failure) {
    this->socket.bind(endpoint, failure);
  }
  if (!failure) {
    this->socket.non_blocking(true, failure);
  }
  if (failure) {
    return core::MakeError(membership::errors::kCannotListen,
                           address.Text() + ": " + failure.message());
  }
  return absl::OkStatus();
}

void
GossipPort::Start(Events aEvents)
{
  this->events = std::move(aEvents);
  this->Receive();
  this->Tick();
}

void
GossipPort::Receive()
{
  this->socket.async_receive_from(asio::buffer(this->buffer),
                                  this->from,
                                  [this](boost::system::error_code aFailure, std::size_t aBytes) {
                                    if (aFailure == asio::error::operation_aborted) {
                                      return;
                                    }
                                    // A datagram that was refused by a dead peer's host shows here
                                    // as an error; reading goes on.
                                    if (!aFailure) {
                                      this->Take({ this->buffer.data(), aBytes });
                                    }
                                    this->Receive();
                                  });
}

void
GossipPort::Take(std::string_view aBytes)
{
  const auto message = membership::ParseMessage(aBytes, this->key);
  if (!message.ok()) {
    return;
  }
  const net::Address sender{ this->from.address().to_string(), this->from.port() };
  this->Send(this->state.Receive(*message, sender, this->clock.Now()));
  if (message->configuration > this->version) {
    this->events.onNewerConfiguration(sender, message->configuration);
  }
  this->ReportChange();
}

void
GossipPort::Tick()
{
  this->Send(this->state.Tick(this->clock.Now()));
  this->ReportChange();
  this->timer.expires_after(this->options.tickInterval);
  this->timer.async_wait([this](boost::system::error_code aFailure) {
    if (!aFailure) {
      this->Tick();
    }
  });
}

void
GossipPort::ReportChange()
{
  if (this->state.Changes() != this->reportedChanges) {
    this->reportedChanges = this->state.Changes();
    this->events.onChange();
  }
}

void
GossipPort::Send(const std::vector<membership::Datagram>& aDatagrams)
{
  for (const membership::Datagram& datagram : aDatagrams) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(datagram.to.host, failure);
    if (failure) {
      continue;
    }
    const std::string bytes = membership::FormatMessage(datagram.message, this->key);
    this->socket.send_to(
      asio::buffer(bytes), asio::ip::udp::endpoint(address, datagram.to.port), 0, failure);
  }
}

void
GossipPort::AnnounceConfiguration(core::ConfigVersion aVersion)
{
  this->version = aVersion;
  this->state.SetConfiguration(aVersion);
  this->Send(this->state.Announce());
}

} // namespace plantainslip::control

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
                                  this->senderEndpoint,
                                  [this](boost::system::error_code aFailure, std::size_t aBytes) {
                                    if (aFailure == asio::error::operation_aborted) {
                                      return;
                                    }
                                    // The host of a dead peer may reject a datagram (ICMP port
                                    // unreachable), which is reported here as an error; ignored.
                                    if (!aFailure) {
                                      this->HandleDatagram({ this->buffer.data(), aBytes });
                                    }
                                    this->Receive();
                                  });
}

void
GossipPort::HandleDatagram(std::string_view aBytes)
{
  const auto message = membership::ParseMessage(aBytes, this->key);
  if (!message.ok()) {
    return;
  }
  const net::Address sender{ this->senderEndpoint.address().to_string(),
                             this->senderEndpoint.port() };
  this->Send(this->state.Receive(*message, sender, this->clock.Now()));
  if (message->configuration > this->configurationVersion) {
    this->events.onNewerConfiguration(sender, message->configuration);
  }
  this->NotifyIfChanged();
}

void
GossipPort::Tick()
{
  this->Send(this->state.Tick(this->clock.Now()));
  this->NotifyIfChanged();
  this->timer.expires_after(this->options.tickInterval);
  this->timer.async_wait([this](boost::system::error_code aFailure) {
    if (!aFailure) {
      this->Tick();
    }
  });
}

void
GossipPort::NotifyIfChanged()
{
  if (this->state.ChangeCount() != this->notifiedChanges) {
    this->notifiedChanges = this->state.ChangeCount();
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
  this->configurationVersion = aVersion;
  this->state.SetConfiguration(aVersion);
  this->Send(this->state.MakeAnnouncements());
}

} // namespace plantainslip::control

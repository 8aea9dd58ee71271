#include "load_exchange.hpp"

#include <algorithm>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

namespace {

/// Shortest interval of messages: a fraction of the time in which an engine reads a long prompt.
constexpr milliseconds kShortestInterval{ 25 };
/// Added for each peer that is told, which bounds what an instance receives to 250 messages a
/// second from its own zone, and to as many from the others.
constexpr milliseconds kIntervalPerPeer{ 4 };
/// Longest interval; a fraction of the silence after which a peer counts as gone.
constexpr milliseconds kLongestInterval{ 400 };
/// Interval at which an unchanged state is told again; below the lifetime of a report.
constexpr milliseconds kUnchangedInterval{ 300 };
/// Interval at which the control thread learns of peers; a fraction of the silence that it bears.
constexpr milliseconds kReportInterval{ 300 };
/// Age that is told if the store has confirmed nothing yet.
constexpr milliseconds kNeverConfirmed{ 3'600'000 };
/// A peer that the store does not list is forgotten after this silence.
constexpr milliseconds kUnlistedLifetime{ 3'000 };

} // namespace

absl::StatusOr<std::unique_ptr<LoadExchange>>
LoadExchange::Open(asio::io_context& aContext,
                   const PeerInstance& aSelf,
                   double aLinkMbps,
                   PathContext& aPath,
                   OnPeers aOnPeers)
{
  std::unique_ptr<LoadExchange> exchange(
    new LoadExchange(aContext, aSelf, aLinkMbps, aPath, std::move(aOnPeers)));
  ErrorCode error;
  const Udp::endpoint endpoint(asio::ip::make_address_v4(aSelf.address.host, error),
                               aSelf.address.port);
  exchange->socket.open(Udp::v4(), error);
  if (!error) {
    exchange->socket.bind(endpoint, error);
  }
  if (error) {
    return core::MakeError(errors::kCannotListen, aSelf.address.Text() + ": " + error.message());
  }
  LoadExchange* const running = exchange.get();
  asio::co_spawn(
    aContext, [running]() -> Task<void> { return running->Receive(); }, asio::detached);
  asio::co_spawn(
    aContext, [running]() -> Task<void> { return running->Send(); }, asio::detached);
  return exchange;
}

LoadExchange::LoadExchange(asio::io_context& aContext,
                           const PeerInstance& aSelf,
                           double aLinkMbps,
                           PathContext& aPath,
                           OnPeers aOnPeers)
  : self(aSelf)
  , linkMbps(aLinkMbps)
  , path(aPath)
  , onPeers(std::move(aOnPeers))
  , socket(aContext)
  , timer(aContext)
{
}

void
LoadExchange::SetPeers(const std::vector<PeerInstance>& aPeers)
{
  for (auto& [id, peer] : this->peers) {
    peer.listed = false;
  }
  for (const PeerInstance& listed : aPeers) {
    ErrorCode error;
    const auto host = asio::ip::make_address_v4(listed.address.host, error);
    if (!error) {
      Peer& peer = this->peers[listed.id];
      peer.endpoint = Udp::endpoint(host, listed.address.port);
      peer.standing.zone = listed.zone;
      peer.listed = true;
    }
  }
}

void
LoadExchange::Take(const PeerMessage& aMessage, const Udp::endpoint& aFrom)
{
  Peer& peer = this->peers[aMessage.sender];
  const core::MonotonicTime now = this->path.clock.Now();
  PeerStanding& standing = peer.standing;
  const bool restarted = peer.endpoint != aFrom || now - standing.heardAt > kUnlistedLifetime;
  if (!restarted && aMessage.sequence <= peer.sequence) {
    return;
  }
  peer.sequence = aMessage.sequence;
  peer.endpoint = aFrom;
  const bool newer = aMessage.configRevision > standing.configRevision ||
                     aMessage.targetsRevision > standing.targetsRevision;
  standing = { aMessage.sender,
               aMessage.zone,
               { aFrom.address().to_string(), aFrom.port() },
               aMessage.linkMbps,
               now,
               now - aMessage.confirmedAge,
               aMessage.configRevision,
               aMessage.targetsRevision };
  this->path.loads.SetPeer(aMessage.sender, aMessage.loads, now);
  this->path.health.SetPeer(aMessage.sender, aMessage.unreachable, now);
  const FleetSnapshot& fleet = *this->path.fleet;
  const bool knowsMore = aMessage.configRevision > fleet.configRevision ||
                         aMessage.targetsRevision > fleet.targetsRevision;
  if (newer && knowsMore) {
    this->ReportPeers();
  }
}

void
LoadExchange::ReportPeers()
{
  const core::MonotonicTime now = this->path.clock.Now();
  this->reportedAt = now;
  std::vector<PeerStanding> standings;
  for (const auto& [id, peer] : this->peers) {
    if (IsAlive(peer.standing, now)) {
      standings.push_back(peer.standing);
    }
  }
  this->onPeers(std::move(standings));
}

Task<void>
LoadExchange::Receive()
{
  while (true) {
    ErrorCode error;
    Udp::endpoint from;
    const std::size_t size =
      co_await this->socket.async_receive_from(asio::buffer(this->received), from, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // A peer without a process answers with a refusal, which says nothing about this socket.
      continue;
    }
    const auto message = DecodePeerMessage(std::string_view(this->received.data(), size));
    if (message.ok() && message->sender != this->self.id) {
      this->Take(*message, from);
    }
  }
}

std::size_t
LoadExchange::NearPeers() const
{
  return static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& aEntry) {
      return aEntry.second.standing.zone == this->self.zone;
    }));
}

void
LoadExchange::SendTo(Reach aReach)
{
  const core::MonotonicTime now = this->path.clock.Now();
  PeerMessage message;
  message.sender = this->self.id;
  message.sequence = ++this->sequence;
  message.zone = this->self.zone;
  message.linkMbps = this->linkMbps;
  const auto age = std::chrono::duration_cast<milliseconds>(now - this->path.confirmedAt);
  message.confirmedAge = std::clamp(age, milliseconds(0), kNeverConfirmed);
  message.configRevision = this->path.fleet->configRevision;
  message.targetsRevision = this->path.fleet->targetsRevision;
  message.loads = this->path.loads.Own();
  message.unreachable = this->path.health.Unreachable(now);
  const std::string bytes = EncodePeerMessage(message);
  for (const auto& [id, peer] : this->peers) {
    if (aReach == Reach::kAllZones || peer.standing.zone == this->self.zone) {
      ErrorCode ignored;
      this->socket.send_to(asio::buffer(bytes), peer.endpoint, 0, ignored);
    }
  }
  this->sentAt = now;
  this->sentFarAt = aReach == Reach::kAllZones ? now : this->sentFarAt;
  this->lastSent = std::move(message.loads);
}

Task<void>
LoadExchange::Send()
{
  const auto intervalFor = [](std::size_t aPeers) {
    return std::min(kLongestInterval,
                    kShortestInterval + kIntervalPerPeer * static_cast<long>(aPeers));
  };
  while (true) {
    this->timer.expires_after(intervalFor(this->NearPeers()));
    ErrorCode error;
    co_await this->timer.async_wait(Into(error));
    const core::MonotonicTime now = this->path.clock.Now();
    std::erase_if(this->peers, [&](const auto& aEntry) {
      return !aEntry.second.listed && now - aEntry.second.standing.heardAt > kUnlistedLifetime;
    });
    const bool farDue = now - this->sentFarAt >= intervalFor(this->peers.size());
    if (farDue || this->path.loads.Own() != this->lastSent ||
        now - this->sentAt >= kUnchangedInterval) {
      this->SendTo(farDue ? Reach::kAllZones : Reach::kOwnZone);
    }
    if (now - this->reportedAt >= kReportInterval) {
      this->ReportPeers();
    }
  }
}

} // namespace plantainslip::serving

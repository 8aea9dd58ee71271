#include "load_exchange.hpp"

#include <algorithm>
#include <utility>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>
#include <plantainslip/usage/usage_message.hpp>

#include "attempt.hpp"
#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// Minimum message interval: a fraction of the prefill time of a long prompt.
constexpr milliseconds kMinInterval{ 25 };
/// Added to the interval per recipient, which bounds what an instance receives to 250 messages per
/// second from its own zone and to as many from the others.
constexpr milliseconds kIntervalPerPeer{ 4 };
/// Maximum message interval; a fraction of #kPeerLivenessTimeout.
constexpr milliseconds kMaxInterval{ 400 };
/// Interval at which an unchanged state is sent again; below the lifetime of a report.
constexpr milliseconds kHeartbeatInterval{ 300 };
/// Interval at which peers are reported to the control thread; a fraction of
/// #kPeerLivenessTimeout.
constexpr milliseconds kReportInterval{ 300 };
/// Maximum confirmation age in messages; sent while the store has confirmed nothing yet.
constexpr milliseconds kMaxConfirmedAge{ 3'600'000 };
/// A peer that the store does not list is removed after this time without a message.
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
  LoadExchange* const started = exchange.get();
  SpawnLoop(aContext, "receive peer messages", [started] { return started->ReceiveLoop(); });
  SpawnLoop(aContext, "send peer messages", [started] { return started->SendLoop(); });
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
      peer.state.zone = listed.zone;
      peer.listed = true;
    }
  }
}

void
LoadExchange::ProcessMessage(const PeerMessage& aMessage, const Udp::endpoint& aFrom)
{
  Peer& peer = this->peers[aMessage.sender];
  const core::MonotonicTime now = this->path.clock.Now();
  PeerState& state = peer.state;
  const bool restarted = aMessage.process != peer.process;
  if (restarted ? aMessage.process == peer.previousProcess : aMessage.sequence <= peer.sequence) {
    return;
  }
  if (restarted) {
    this->path.quarantine.ReportAllQuarantines(now);
    peer.previousProcess = std::exchange(peer.process, aMessage.process);
  }
  peer.sequence = aMessage.sequence;
  peer.endpoint = aFrom;
  const bool changed = aMessage.configState.content != state.configState.content ||
                       aMessage.targetsState.content != state.targetsState.content;
  state = { aMessage.sender,
            aMessage.zone,
            { aFrom.address().to_string(), aFrom.port() },
            aMessage.linkMbps,
            now,
            now - aMessage.confirmedAge,
            aMessage.configState,
            aMessage.targetsState,
            aMessage.heldToken };
  this->path.loads.SetPeerReport(aMessage.sender, aMessage.loads, now);
  this->demand.SetReport(aMessage.sender, aMessage.demand, aMessage.zone);
  this->path.health.SetPeerReport(aMessage.sender, aMessage.unreachable, now);
  for (const TargetProcess& leaving : aMessage.leaving) {
    if (this->path.notices.RecordLeaving(leaving, now)) {
      core::Log(core::LogLevel::kInfo,
                "target is leaving, according to a peer",
                { { "target", leaving.id.Text() }, { "peer", aMessage.sender.Text() } });
    }
  }
  for (const RateStatement& statement : aMessage.limits) {
    this->path.limits.Merge(statement, now);
  }
  if (!aMessage.crashes.Empty()) {
    this->path.quarantine.Merge(aMessage.crashes, now);
    LogQuarantineChanges(this->path);
  }
  const FleetSnapshot& fleet = *this->path.fleet;
  const bool knowsMore = MayLackChanges(fleet.configState, aMessage.configState) ||
                         MayLackChanges(fleet.targetsState, aMessage.targetsState);
  if (changed && knowsMore) {
    this->ReportPeers();
  }
}

std::optional<LeaseHolder>
LoadExchange::CurrentHolder() const
{
  const core::MonotonicTime now = this->path.clock.Now();
  std::optional<LeaseHolder> holder;
  if (this->heldToken.Number() > 0) {
    holder = LeaseHolder{ this->self.id, this->self.address, this->heldToken };
  }
  for (const auto& [id, peer] : this->peers) {
    const core::FencingToken best = holder.has_value() ? holder->token : core::FencingToken(0);
    if (IsAlive(peer.state, now) && peer.state.heldToken > best) {
      holder = LeaseHolder{ id, peer.state.address, peer.state.heldToken };
    }
  }
  return holder;
}

std::size_t
LoadExchange::CountLivePeers() const
{
  const core::MonotonicTime now = this->path.clock.Now();
  return static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [now](const auto& aEntry) {
      return IsAlive(aEntry.second.state, now);
    }));
}

void
LoadExchange::ReportPeers()
{
  const core::MonotonicTime now = this->path.clock.Now();
  this->reportedAt = now;
  std::vector<PeerState> states;
  std::vector<core::InstanceId> liveIds;
  for (const auto& [id, peer] : this->peers) {
    if (IsAlive(peer.state, now)) {
      states.push_back(peer.state);
      liveIds.push_back(id);
    }
  }
  this->reportedPeers = states.size();
  this->path.limits.SetInstances(this->self.id, std::move(liveIds));
  this->demand.SetReport(this->self.id, this->path.demand.Totals(now), this->self.zone);
  this->demand.RemoveUnknown([this](const core::InstanceId& aId) {
    return aId == this->self.id || this->peers.contains(aId);
  });
  this->onPeers(std::move(states), this->demand);
}

void
LoadExchange::SendTo(const core::InstanceId& aPeer, const std::string& aBytes)
{
  if (const auto peer = this->peers.find(aPeer); peer != this->peers.end()) {
    ErrorCode ignored;
    this->socket.send_to(asio::buffer(aBytes), peer->second.endpoint, 0, ignored);
  }
}

std::vector<PeerState>
LoadExchange::LivePeers() const
{
  const core::MonotonicTime now = this->path.clock.Now();
  std::vector<PeerState> live;
  for (const auto& [id, peer] : this->peers) {
    if (IsAlive(peer.state, now)) {
      live.push_back(peer.state);
    }
  }
  return live;
}

Task<void>
LoadExchange::ReceiveLoop()
{
  while (true) {
    ErrorCode error;
    Udp::endpoint from;
    const std::size_t size = co_await this->socket.async_receive_from(
      asio::buffer(this->received), from, RedirectError(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // The host of a stopped peer replies with "port unreachable"; this socket still works.
      continue;
    }
    const std::string_view bytes(this->received.data(), size);
    if (usage::IsUsageMessage(bytes)) {
      if (this->onUsage) {
        this->onUsage(bytes);
      }
      continue;
    }
    const auto message = DecodePeerMessage(bytes);
    if (message.ok() && message->sender != this->self.id) {
      this->ProcessMessage(*message, from);
    }
  }
}

std::size_t
LoadExchange::CountSameZonePeers() const
{
  return static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& aEntry) {
      return aEntry.second.state.zone == this->self.zone;
    }));
}

void
LoadExchange::SendToPeers(Recipients aRecipients)
{
  const core::MonotonicTime now = this->path.clock.Now();
  PeerMessage message;
  message.sender = this->self.id;
  message.process = this->process;
  message.sequence = ++this->sequence;
  message.zone = this->self.zone;
  message.linkMbps = this->linkMbps;
  const auto age = std::chrono::duration_cast<milliseconds>(now - this->path.confirmedAt);
  message.confirmedAge = std::clamp(age, milliseconds(0), kMaxConfirmedAge);
  message.configState = this->path.fleet->configState;
  message.targetsState = this->path.fleet->targetsState;
  message.loads = this->path.loads.OwnLoads();
  message.demand = this->path.demand.Totals(now);
  message.unreachable = this->path.health.UnreachableTargets(now);
  message.limits = this->path.limits.News(now);
  message.leaving = this->path.notices.NewsFor(this->path.fleet->targets);
  message.crashes = this->path.quarantine.Report(now);
  message.heldToken = this->heldToken;
  const std::string bytes = EncodePeerMessage(message);
  for (const auto& [id, peer] : this->peers) {
    if (aRecipients == Recipients::kAllZones || peer.state.zone == this->self.zone) {
      ErrorCode ignored;
      this->socket.send_to(asio::buffer(bytes), peer.endpoint, 0, ignored);
    }
  }
  this->sentAt = now;
  this->sentToAllZonesAt = aRecipients == Recipients::kAllZones ? now : this->sentToAllZonesAt;
  this->lastSent = std::move(message.loads);
}

Task<void>
LoadExchange::SendLoop()
{
  const auto intervalFor = [](std::size_t aPeers) {
    return std::min(kMaxInterval, kMinInterval + kIntervalPerPeer * static_cast<long>(aPeers));
  };
  while (true) {
    this->timer.expires_after(intervalFor(this->CountSameZonePeers()));
    ErrorCode error;
    co_await this->timer.async_wait(RedirectError(error));
    const core::MonotonicTime now = this->path.clock.Now();
    std::erase_if(this->peers, [&](const auto& aEntry) {
      return !aEntry.second.listed && now - aEntry.second.state.lastMessageAt > kUnlistedLifetime;
    });
    const bool allZonesDue = now - this->sentToAllZonesAt >= intervalFor(this->peers.size());
    if (allZonesDue || this->path.loads.OwnLoads() != this->lastSent ||
        now - this->sentAt >= kHeartbeatInterval) {
      this->SendToPeers(allZonesDue ? Recipients::kAllZones : Recipients::kOwnZone);
    }
    // An instance whose peers fall silent may have to follow the store itself.
    if (now - this->reportedAt >= kReportInterval || this->CountLivePeers() < this->reportedPeers) {
      this->ReportPeers();
    }
  }
}

} // namespace plantainslip::serving

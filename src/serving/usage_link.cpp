#include "usage_link.hpp"

#include "spawn.hpp"

namespace plantainslip::serving {

namespace {

/// At most this much of an instance's counts is lost with it.
constexpr milliseconds kTickInterval{ 1'000 };

} // namespace

UsageLink::UsageLink(asio::io_context& aContext,
                     const core::Clock& aClock,
                     const usage::WindowRules& aRules,
                     const PeerInstance& aSelf,
                     LoadExchange& aExchange,
                     PathMetrics& aMetrics,
                     FindHolder aFindHolder,
                     OnInput aOnInput)
  : context(aContext)
  , self(aSelf.id)
  , exchange(aExchange)
  , metrics(aMetrics)
  , findHolder(std::move(aFindHolder))
  , onInput(std::move(aOnInput))
  , agent(aClock, aRules, { aSelf.id, aSelf.zone })
{
}

void
UsageLink::Start()
{
  this->exchange.SetUsageHandler([this](std::string_view aBytes) {
    const auto message = usage::DecodeUsageMessage(aBytes);
    if (!message.ok()) {
      this->metrics.Count("usage_messages_dropped_total", "malformed");
      return;
    }
    this->Send(this->agent.Receive(*message));
  });
  SpawnLoop(this->context, "send usage counts", [this] { return this->TickLoop(); });
}

void
UsageLink::Send(const std::vector<usage::UsageAgent::Outgoing>& aOutgoing)
{
  for (const usage::UsageAgent::Outgoing& outgoing : aOutgoing) {
    this->exchange.SendTo(outgoing.to, outgoing.bytes);
  }
}

void
UsageLink::SetProgress(const usage::Progress& aProgress)
{
  this->Send(this->agent.SetProgress(aProgress));
}

void
UsageLink::Tick()
{
  std::vector<usage::Member> peers;
  for (const PeerState& peer : this->exchange.LivePeers()) {
    peers.push_back({ peer.id, peer.zone });
  }
  const std::optional<core::InstanceId> holder = this->findHolder();
  this->Send(this->agent.Tick(peers, holder));
  if (holder != this->self) {
    return;
  }
  UsageInput input;
  input.ready = this->agent.CloseWindows();
  input.now = this->agent.Now();
  input.progress = this->agent.Known();
  for (std::uint64_t missed = this->agent.TakeMissed(); missed > 0; --missed) {
    this->metrics.Count("usage_windows_missed_total", "too_late");
  }
  this->onInput(std::move(input));
}

Task<void>
UsageLink::TickLoop()
{
  while (true) {
    co_await SleepFor(kTickInterval);
    this->Tick();
  }
}

} // namespace plantainslip::serving

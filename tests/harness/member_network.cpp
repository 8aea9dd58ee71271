#include "member_network.hpp"

namespace plantainslip::harness {

namespace {

constexpr std::uint16_t kFirstPort = 1000;
constexpr std::uint64_t kStepsATick = 10;
constexpr std::size_t kIpAndUdpHeaderBytes = 28;

} // namespace

MemberNetwork::MemberNetwork(std::uint64_t aSeed)
  : random(aSeed)
{
}

std::size_t
MemberNetwork::Add(const std::string& aName, const std::string& aZone)
{
  membership::MembershipOptions options;
  const auto port = static_cast<std::uint16_t>(kFirstPort + this->nodes.size());
  options.self.instance = core::InstanceId(aName);
  options.self.zone = core::ZoneId(aZone);
  options.self.address = { "127.0.0.1", port };
  const auto started = this->clock.WallNow().time_since_epoch();
  options.self.incarnation = membership::Incarnation(static_cast<std::uint64_t>(started.count()));
  Node node;
  node.address = options.self.address;
  node.zone = aZone;
  node.membership = std::make_unique<membership::Membership>(
    options, this->random.Below(1U << 30), this->clock.Now());
  this->nodes.push_back(std::move(node));
  return this->nodes.size() - 1;
}

void
MemberNetwork::ReadListAt(std::size_t aIndex, const std::vector<std::string>& aLeavingTargets)
{
  std::vector<platform::ListedInstance> list;
  for (const Node& node : this->nodes) {
    platform::ListedInstance listed;
    listed.name = node.membership->Self().instance.Text();
    listed.zone = core::ZoneId(node.zone);
    listed.peerAddress = node.address;
    list.push_back(std::move(listed));
  }
  for (const std::string& target : aLeavingTargets) {
    platform::ListedInstance listed;
    listed.name = target;
    listed.kind = platform::ListedKind::kEngine;
    listed.leaving = true;
    list.push_back(std::move(listed));
  }
  this->nodes[aIndex].membership->UpdateFromList(list, this->clock.Now());
}

void
MemberNetwork::ReadList(const std::vector<std::string>& aLeavingTargets)
{
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    this->ReadListAt(index, aLeavingTargets);
  }
}

void
MemberNetwork::SetRunning(std::size_t aIndex, bool aRunning)
{
  this->nodes[aIndex].running = aRunning;
}

void
MemberNetwork::Run(std::chrono::milliseconds aTime)
{
  this->RunUntil([] { return false; }, aTime);
}

std::chrono::milliseconds
MemberNetwork::RunUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aMost)
{
  std::chrono::milliseconds passed(0);
  while (passed < aMost && !aCondition()) {
    this->Step();
    passed += kStep;
  }
  return passed;
}

void
MemberNetwork::Step()
{
  this->clock.Advance(kStep);
  ++this->steps;
  std::deque<InFlight> arriving;
  std::swap(arriving, this->inFlight);
  for (const InFlight& item : arriving) {
    Node& node = this->nodes[item.to];
    if (node.running) {
      this->Send(
        item.to,
        node.membership->Receive(item.message, this->nodes[item.from].address, this->clock.Now()));
    }
  }
  // Instances tick at different moments, as processes do.
  for (std::size_t index = this->steps % kStepsATick; index < this->nodes.size();
       index += kStepsATick) {
    if (this->nodes[index].running) {
      this->Send(index, this->nodes[index].membership->Tick(this->clock.Now()));
    }
  }
}

void
MemberNetwork::Send(std::size_t aFrom, std::vector<membership::Datagram> aDatagrams)
{
  for (membership::Datagram& datagram : aDatagrams) {
    ++this->datagrams;
    if (this->counting) {
      this->bytes += membership::FormatMessage(datagram.message, "key").size();
      this->bytes += kIpAndUdpHeaderBytes;
    }
    const std::size_t to = datagram.to.port - std::size_t{ kFirstPort };
    const bool lost = this->random.Fraction() < this->loss || (this->cut && this->cut(aFrom, to));
    if (!lost && to < this->nodes.size()) {
      this->inFlight.push_back({ aFrom, to, std::move(datagram.message) });
    }
  }
}

bool
MemberNetwork::AllHoldDead(const std::string& aZone, std::size_t aIndex)
{
  const core::InstanceId& instance = this->At(aIndex).Self().instance;
  for (const Node& node : this->nodes) {
    if (node.running && node.zone == aZone && !node.membership->IsDead(instance)) {
      return false;
    }
  }
  return true;
}

std::size_t
MemberNetwork::WronglyDead()
{
  std::size_t wrong = 0;
  for (const Node& holder : this->nodes) {
    for (const Node& other : this->nodes) {
      const bool both = holder.running && other.running && holder.zone == other.zone;
      if (both && holder.membership->IsDead(other.membership->Self().instance)) {
        ++wrong;
      }
    }
  }
  return wrong;
}

} // namespace plantainslip::harness

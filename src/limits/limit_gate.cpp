#include <plantainslip/limits/limit_gate.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <plantainslip/limits/share_owner.hpp>
#include <plantainslip/peers/errors.hpp>

namespace plantainslip::limits {

namespace {

constexpr std::size_t kCallThreads = 8;
constexpr std::chrono::milliseconds kPeerTimeout{ 500 };
// Maximum time that a caller's request waits for each owner.
constexpr std::chrono::milliseconds kLimitRequestTimeout{ 100 };

class PeerLimitGate final : public LimitGate
{
public:
  PeerLimitGate(const LimitOptions& aOptions, const core::InstanceId& aSelf, LimitPorts aPorts)
    : options(aOptions)
    , self(aSelf)
    , ports(std::move(aPorts))
    , buckets(aOptions, aSelf)
    , owner(aOptions)
    , reportThread([this](const std::stop_token& aStop) { this->Run(aStop); })
  {
  }

  LimitDecision Admit(const core::WorkspaceId& aWorkspace,
                      const config::WorkspaceLimit& aLimit,
                      core::TokenCount aTokens) override
  {
    std::vector<core::InstanceId> owners;
    LimitDecision decision;
    {
      const std::scoped_lock lock(this->mutex);
      const core::MonotonicTime now = this->ports.clock.Now();
      decision = this->buckets.Admit(aWorkspace, aLimit, aTokens, now);
      if (!decision.admitted) {
        owners = this->buckets.OwnersToAsk(aWorkspace, now);
      }
    }
    return owners.empty() ? decision
                          : this->RequestFromOwners(
                              owners, aWorkspace, { HashWorkspace(aWorkspace), aLimit, aTokens });
  }

  absl::StatusOr<std::string> HandleLimitRequest(const std::string& aBody) override
  {
    const auto request = DecodeLimitRequest(aBody);
    if (!request.ok()) {
      return request.status();
    }
    const std::scoped_lock lock(this->mutex);
    return EncodeDecision(this->owner.Decide(*request, this->ports.clock.Now()));
  }

  absl::StatusOr<std::string> HandleReport(const std::string& aBody) override
  {
    const auto report = DecodeReport(aBody);
    if (!report.ok()) {
      return report.status();
    }
    const std::scoped_lock lock(this->mutex);
    return EncodeGrant(this->owner.GrantShares(*report, this->ports.clock.Now()));
  }

  void ExchangeReports() override
  {
    std::map<core::InstanceId, net::Address> addresses;
    std::vector<core::InstanceId> instances;
    for (const control::EntryView& entry : this->ports.listEntries()) {
      instances.push_back(entry.instance);
      addresses[entry.instance] = entry.peerAddress;
    }
    boost::asio::thread_pool calls(kCallThreads);
    for (const auto& [to, report] : this->MakeReports(std::move(instances))) {
      if (addresses[to].port == 0) {
        continue;
      }
      boost::asio::post(calls, [this, to = to, report = report, address = addresses[to]] {
        this->Report(to, address, report);
      });
    }
    calls.join();
  }

private:
  LimitDecision RequestFromOwners(const std::vector<core::InstanceId>& aOwners,
                                  const core::WorkspaceId& aWorkspace,
                                  const LimitRequest& aRequest)
  {
    LimitDecision decision{ false, this->options.reportInterval };
    for (const core::InstanceId& candidate : aOwners) {
      const auto answer = this->RequestFromOwner(candidate, aRequest);
      if (answer.ok() && answer->admitted) {
        return *answer;
      }
      if (answer.ok()) {
        decision.wait = std::min(decision.wait, answer->wait);
      }
    }
    const std::scoped_lock lock(this->mutex);
    this->buckets.RecordRefusal(aWorkspace, decision.wait, this->ports.clock.Now());
    return decision;
  }

  absl::StatusOr<LimitDecision> RequestFromOwner(const core::InstanceId& aOwner,
                                                 const LimitRequest& aRequest)
  {
    if (aOwner == this->self) {
      const std::scoped_lock lock(this->mutex);
      return this->owner.Decide(aRequest, this->ports.clock.Now());
    }
    for (const control::EntryView& entry : this->ports.listEntries()) {
      if (entry.instance == aOwner && entry.peerAddress.port != 0) {
        const auto answer = this->ports.peers.Call(entry.peerAddress,
                                                   kLimitRequestMessage,
                                                   EncodeLimitRequest(aRequest),
                                                   kLimitRequestTimeout);
        return answer.ok() ? DecodeDecision(*answer) : answer.status();
      }
    }
    return core::MakeError(peers::errors::kUnreachable, aOwner.Text());
  }

  // Reports to this instance as owner are handled directly; the others are returned for sending.
  std::map<core::InstanceId, DemandReport> MakeReports(std::vector<core::InstanceId> aInstances)
  {
    const std::scoped_lock lock(this->mutex);
    const core::MonotonicTime now = this->ports.clock.Now();
    this->buckets.SetInstances(std::move(aInstances));
    this->owner.Prune(now);
    auto reports = this->buckets.MakeReports(now);
    if (const auto own = reports.find(this->self); own != reports.end()) {
      this->buckets.ApplyGrant(this->self, this->owner.GrantShares(own->second, now), now, now);
      reports.erase(own);
    }
    return reports;
  }

  void Report(const core::InstanceId& aOwner,
              const net::Address& aAddress,
              const DemandReport& aReport)
  {
    const core::MonotonicTime sentAt = this->ports.clock.Now();
    const auto answer =
      this->ports.peers.Call(aAddress, kReportMessage, EncodeReport(aReport), kPeerTimeout);
    const auto grant = answer.ok() ? DecodeGrant(*answer) : answer.status();
    if (grant.ok()) {
      const std::scoped_lock lock(this->mutex);
      this->buckets.ApplyGrant(aOwner, *grant, sentAt, this->ports.clock.Now());
    }
  }

  void Run(const std::stop_token& aStop)
  {
    std::mutex wakeupMutex;
    std::condition_variable_any wakeup;
    std::unique_lock lock(wakeupMutex);
    while (!aStop.stop_requested()) {
      wakeup.wait_for(lock, aStop, this->options.reportInterval, [] { return false; });
      this->ExchangeReports();
    }
  }

  LimitOptions options;
  core::InstanceId self;
  LimitPorts ports;
  std::mutex mutex;
  WorkspaceBuckets buckets;
  ShareOwner owner;
  // Declared last, so that the thread is joined before the members that it uses are destroyed.
  std::jthread reportThread;
};

} // namespace

std::unique_ptr<LimitGate>
MakeLimitGate(const LimitOptions& aOptions, const core::InstanceId& aSelf, LimitPorts aPorts)
{
  return std::make_unique<PeerLimitGate>(aOptions, aSelf, std::move(aPorts));
}

} // namespace plantainslip::limits

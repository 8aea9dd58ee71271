#include "role_watch.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include <plantainslip/net/http_client.hpp>

namespace plantainslip::load {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kInterval = std::chrono::seconds(1);
constexpr int kOk = 200;

class PollingWatch final : public RoleWatch
{
public:
  PollingWatch(std::vector<net::Address> aEntries, std::string aOperatorKey)
    : entries(std::move(aEntries))
    , operatorKey(std::move(aOperatorKey))
    , thread([this] { this->Run(); })
  {
  }

  ~PollingWatch() override { this->PollingWatch::Stop(); }

  std::int64_t Stop() override
  {
    {
      const std::scoped_lock lock(this->mutex);
      this->stopping = true;
    }
    this->stopped.notify_all();
    if (this->thread.joinable()) {
      this->thread.join();
    }
    return this->changes.Count();
  }

private:
  void Run()
  {
    bool last = false;
    while (!last) {
      {
        std::unique_lock lock(this->mutex);
        last = this->stopped.wait_for(lock, kInterval, [this] { return this->stopping; });
      }
      for (const net::Address& entry : this->entries) {
        this->Ask(entry);
      }
    }
  }

  void Ask(const net::Address& aEntry)
  {
    net::HttpRequest request;
    request.target = "/v1/operator/fleet";
    request.headers.push_back({ "Authorization", "Bearer " + this->operatorKey });
    request.timeout = kInterval;
    const auto reply = net::CallHttp(aEntry, request);
    if (reply.ok() && reply->status == kOk) {
      this->changes.Take(aEntry.Text(), reply->body);
    }
  }

  std::vector<net::Address> entries;
  std::string operatorKey;
  RoleChanges changes;
  std::mutex mutex;
  std::condition_variable stopped;
  bool stopping = false;
  std::thread thread;
};

} // namespace

void
RoleChanges::Take(const std::string& aInstance, const std::string& aFleet)
{
  const json fleet = json::parse(aFleet, nullptr, false);
  if (!fleet.is_object() || !fleet.contains("targets") || !fleet["targets"].is_array()) {
    return;
  }
  for (const json& target : fleet["targets"]) {
    if (!target.is_object() || !target.contains("name") || !target.contains("role")) {
      continue;
    }
    Seen& seen = this->targets[target["name"].get<std::string>()][aInstance];
    const std::string role = target["role"].get<std::string>();
    if (!seen.role.empty() && seen.role != role) {
      ++seen.changes;
    }
    seen.role = role;
  }
}

std::int64_t
RoleChanges::Count() const
{
  std::int64_t total = 0;
  for (const auto& [target, instances] : this->targets) {
    std::int64_t most = 0;
    for (const auto& [instance, seen] : instances) {
      most = std::max(most, seen.changes);
    }
    total += most;
  }
  return total;
}

std::unique_ptr<RoleWatch>
RoleWatch::Start(std::vector<net::Address> aEntries, std::string aOperatorKey)
{
  return std::make_unique<PollingWatch>(std::move(aEntries), std::move(aOperatorKey));
}

} // namespace plantainslip::load

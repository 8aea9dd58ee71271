#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "harness/kept_connection.hpp"

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using fakes::TargetBehavior;
using fakes::WireStore;
using fakes::WireTarget;
using harness::CallerAnswer;
using harness::KeptConnection;
using harness::WireFleet;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

namespace {

/// Bounds of the users: time until a leaving target gets nothing more, time until a change is in
/// force, time until a pause holds and requests that may arrive in it, time without disruption
/// until the bounds apply, and targets that a repeated request may end before it may arrive only so
/// often after that time.
constexpr auto kDrainBound = 2'000ms;
constexpr auto kChangeBound = 2'000ms;
constexpr auto kPauseBound = 500ms;
constexpr auto kStableWindow = 3'000ms;
constexpr std::size_t kMaxDuringPause = 2;
constexpr std::size_t kAcceptedCrashes = 3;
constexpr std::size_t kMaxLaterArrivals = 3;
constexpr std::size_t kInstances = 3;

/// What a caller saw of one request.
struct Sent
{
  std::string path;
  std::size_t instance = 0;
  Time at;
  Time answeredAt;
  CallerAnswer answer;
};

/// One directory entry, which its target writes again after the store has lost it.
struct Entry
{
  WireTarget* target = nullptr;
  std::string service;
  std::string stage;
  std::string state = "ready";
  bool gone = false;
  /// When the store acknowledged that the target drains, if it was stable then.
  Time drainedAt = Time::max();
};

/// When a request arrived, and the instance that sent it.
using Sender = std::pair<Time, std::size_t>;

bool
IsEarlier(const Sender& aLeft, const Sender& aRight)
{
  return aLeft.first < aRight.first;
}

/// A fleet under random disruptions that overlap, and the requests of callers that keep their
/// connections.
class Soak
{
public:
  explicit Soak(unsigned aSeed)
    : random(aSeed)
  {
    for (const char* stage : { "prefill", "prefill", "decode", "decode", "decode" }) {
      this->AddTarget("models", stage);
    }
    for (int number = 0; number < 3; ++number) {
      this->AddTarget("desk", "");
    }
    this->fleet.Configure(this->version, this->AddedRoute());
    for (std::size_t slot = 0; slot < kInstances; ++slot) {
      this->slots.push_back(this->Start());
    }
  }

  void Run(std::chrono::seconds aDuration)
  {
    std::vector<std::jthread> callers;
    for (unsigned number = 0; number < 4; ++number) {
      const auto seed = this->random();
      callers.emplace_back([this, number, seed] { this->CallLoop(number, seed); });
    }
    const Time end = Clock::now() + aDuration;
    while (Clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(this->Below(500) + 100));
      this->Disrupt();
    }
    this->stopping = true;
  }

  void Check()
  {
    this->CheckAnswers();
    this->CheckLeaving();
    this->CheckPauses();
    this->CheckFatalRequests();
    for (const std::size_t index : this->slots) {
      CHECK_MESSAGE(this->fleet.Gateway(index).IsRunning(), "an instance ended by itself");
    }
    MESSAGE(this->sent.size() << " requests, " << this->CountServed() << " served, "
                              << this->boundProbes << " bound probes, " << this->CountTold()
                              << " instances told of a leaving target");
    CHECK(this->CountServed() * 2 > this->sent.size());
  }

private:
  unsigned Below(unsigned aBound) { return static_cast<unsigned>(this->random() % aBound); }

  void AddTarget(const std::string& aService, const std::string& aStage)
  {
    const std::string id = "i-" + std::to_string(this->entries.size());
    WireTarget& target = this->fleet.AddTarget(id, aService, aStage);
    target.SetFatalPath(this->fatalPath);
    this->entries.push_back({ &target, aService, aStage });
  }

  std::size_t Start()
  {
    this->fleet.StartGateway();
    const std::scoped_lock lock(this->mutex);
    this->addresses.push_back(this->fleet.Callers());
    this->calmSince.push_back(Clock::now());
    return this->addresses.size() - 1;
  }

  bool IsStoreStable() const { return Clock::now() - this->storeDisruptedAt > kStableWindow; }

  void CallLoop(unsigned aNumber, std::mt19937::result_type aSeed)
  {
    std::mt19937 choose(aSeed);
    // The instances that the caller uses, each until it is gone.
    std::array<std::size_t, 2> used{};
    {
      const std::scoped_lock lock(this->mutex);
      std::generate(used.begin(), used.end(), [&] { return this->slots[choose() % kInstances]; });
    }
    std::map<std::size_t, KeptConnection> connections;
    const std::vector<std::string> paths = { "/look/x", "/pay/x", "/quote/x", "/note/x" };
    constexpr unsigned kFatalShare = 12;
    for (int number = 0; !this->stopping; ++number) {
      Sent request;
      std::size_t& instance = used[choose() % used.size()];
      request.instance = instance;
      {
        const std::scoped_lock lock(this->mutex);
        connections.try_emplace(instance, this->addresses[instance]);
      }
      request.path = paths[choose() % paths.size()];
      if (choose() % kFatalShare == 0) {
        const std::scoped_lock lock(this->mutex);
        request.path = this->fatalPath.empty() ? request.path : this->fatalPath;
      }
      request.at = Clock::now();
      const bool isCompletion = IsOn(request.path, "/quote/") || IsOn(request.path, "/note/");
      const std::string id = std::to_string(aNumber) + "-" + std::to_string(number);
      request.answer = connections.at(request.instance)
                         .Call(isCompletion ? "POST" : "GET", request.path, id, isCompletion);
      request.answeredAt = Clock::now();
      const std::scoped_lock lock(this->mutex);
      if (request.answer.status == 0) {
        instance = this->slots[choose() % kInstances];
      }
      this->sent.emplace(id, std::move(request));
    }
  }

  static bool IsOn(const std::string& aPath, const std::string& aRoute)
  {
    return aPath.starts_with(aRoute);
  }

  // Lets a request end each target that begins to run it, from now on.
  void MakeFatal()
  {
    static const std::vector<std::string> kRoutes = { "/look/", "/pay/", "/quote/", "/note/" };
    const std::string path = kRoutes[this->Below(4)] + "fatal" + std::to_string(this->Below(1'000));
    for (const Entry& entry : this->entries) {
      entry.target->SetFatalPath(path);
    }
    this->fatalPaths.insert(path);
    const std::scoped_lock lock(this->mutex);
    this->fatalPath = path;
  }

  void ReplaceEnded()
  {
    const std::size_t count = this->entries.size();
    for (std::size_t index = 0; index < count; ++index) {
      if (this->entries[index].target->HasEnded() && !this->entries[index].gone) {
        this->entries[index].gone = true;
        this->fleet.RemoveEntry(this->entries[index].target->Id());
        const std::string service = this->entries[index].service;
        const std::string stage = this->entries[index].stage;
        this->AddTarget(service, stage);
      }
    }
  }

  void Disrupt()
  {
    this->ReplaceEnded();
    switch (this->Below(9)) {
      case 0:
        this->LoseStore();
        break;
      case 1:
        this->ComeBackFromCopy();
        break;
      case 2:
        this->Reconfigure();
        break;
      case 3:
        this->Leave();
        break;
      case 4:
        this->Pause();
        break;
      case 5:
        this->Restart();
        break;
      case 6:
        this->Freeze();
        break;
      case 7:
        this->MakeFatal();
        break;
      default:
        this->Fail();
        break;
    }
    this->copies.push_back(this->fleet.Store().MakeCopy());
  }

  std::string AddedRoute() const { return "v" + std::to_string(this->version); }

  // Checks that no instance, of those that were known to have it, lacks the route that the newest
  // configuration added.
  void CheckAddedRoute(bool aIsInForce)
  {
    if (!aIsInForce) {
      this->serving.clear();
    }
    for (std::size_t slot = 0; slot < kInstances; ++slot) {
      const std::size_t index = this->slots[slot];
      const bool isCalm = Clock::now() - this->calmSince[index] > kStableWindow + kChangeBound;
      const bool isBound = aIsInForce ? this->serving.contains(index) : isCalm;
      const std::string id = "probe-" + std::to_string(++this->probes);
      const int status = KeptConnection(this->addresses[index])
                           .Call("GET", "/" + this->AddedRoute() + "/x", id, false)
                           .status;
      if (isBound) {
        CAPTURE(index);
        CAPTURE(aIsInForce);
        CHECK(status != 404);
        ++this->boundProbes;
      }
      if (status == 200) {
        this->serving.insert(index);
      }
    }
  }

  void Reconfigure()
  {
    const bool isChecked = this->Below(2) == 0;
    if (isChecked) {
      std::this_thread::sleep_for(kStableWindow);
    }
    ++this->version;
    this->fleet.Configure(this->version, this->AddedRoute());
    this->serving.clear();
    if (isChecked) {
      std::this_thread::sleep_for(kChangeBound);
      this->CheckAddedRoute(false);
    }
  }

  void LoseStore()
  {
    const bool silent = this->Below(2) == 0;
    this->fleet.Store().SetMode(silent ? WireStore::Mode::kSilent : WireStore::Mode::kRefusing);
    std::this_thread::sleep_for(std::chrono::milliseconds(this->Below(1'500)));
    this->fleet.Store().SetMode(WireStore::Mode::kAvailable);
    this->storeDisruptedAt = Clock::now();
  }

  // The operator and the targets write again what the copy lacks, the targets a little later.
  void ComeBackFromCopy()
  {
    if (this->copies.empty()) {
      return;
    }
    this->fleet.Store().SetMode(WireStore::Mode::kRefusing);
    std::this_thread::sleep_for(std::chrono::milliseconds(this->Below(800)));
    const std::size_t back = std::min<std::size_t>(this->copies.size(), this->Below(20) + 1);
    this->fleet.Store().Restore(this->copies[this->copies.size() - back]);
    this->fleet.Store().SetMode(WireStore::Mode::kAvailable);
    std::this_thread::sleep_for(std::chrono::milliseconds(this->Below(1'000)));
    this->CheckAddedRoute(true);
    this->fleet.Configure(this->version, this->AddedRoute());
    for (const Entry& entry : this->entries) {
      if (entry.gone) {
        this->fleet.RemoveEntry(entry.target->Id());
      } else {
        this->fleet.WriteEntry(*entry.target, entry.service, entry.stage, entry.state);
      }
    }
    this->storeDisruptedAt = Clock::now();
  }

  // A target says that it leaves, in its answers, to the store, or both; another one takes over.
  // The entry of one that left before goes.
  void Leave()
  {
    for (Entry& entry : this->entries) {
      if (!entry.gone && entry.target->IsLeaving() && this->Below(2) == 0) {
        this->fleet.RemoveEntry(entry.target->Id());
        entry.gone = true;
      }
    }
    Entry& entry = this->entries[this->Below(static_cast<unsigned>(this->entries.size()))];
    if (entry.gone || entry.target->IsLeaving()) {
      return;
    }
    entry.target->SetLeaving(true);
    if (this->Below(2) == 0) {
      entry.state = "draining";
      this->fleet.WriteEntry(*entry.target, entry.service, entry.stage, entry.state);
      if (this->IsStoreStable()) {
        entry.drainedAt = Clock::now();
      }
    }
    const std::string service = entry.service;
    const std::string stage = entry.stage;
    this->AddTarget(service, stage);
  }

  void Pause()
  {
    Entry& entry = this->entries[this->Below(static_cast<unsigned>(this->entries.size()))];
    entry.target->SetRetryAfter(this->Below(2) == 0 ? "1.5" : "3");
    entry.target->SetBehaviors({ TargetBehavior::kShed });
  }

  // Stops an instance politely or at once; another one takes its place.
  void Restart()
  {
    const std::size_t slot = this->Below(kInstances);
    const std::size_t replacement = this->Start();
    std::size_t stopped = 0;
    {
      const std::scoped_lock lock(this->mutex);
      stopped = std::exchange(this->slots[slot], replacement);
    }
    this->fleet.Gateway(stopped).Signal(this->Below(3) == 0 ? SIGKILL : SIGTERM);
  }

  void Freeze()
  {
    const std::size_t index = this->slots[this->Below(kInstances)];
    this->fleet.Gateway(index).Signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(this->Below(1'200)));
    this->fleet.Gateway(index).Signal(SIGCONT);
    const std::scoped_lock lock(this->mutex);
    this->calmSince[index] = Clock::now();
  }

  void Fail()
  {
    static const std::vector<TargetBehavior> kFailures = {
      TargetBehavior::kShed, TargetBehavior::kDrop, TargetBehavior::kBreak, TargetBehavior::kFail
    };
    Entry& entry = this->entries[this->Below(static_cast<unsigned>(this->entries.size()))];
    entry.target->SetRetryAfter("");
    entry.target->SetBehaviors({ kFailures[this->Below(4)], kFailures[this->Below(4)] });
  }

  std::size_t CountServed() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->sent.begin(), this->sent.end(), [](const auto& aEntry) {
        return aEntry.second.answer.status == 200 && aEntry.second.answer.complete;
      }));
  }

  std::size_t CountTold() const
  {
    std::size_t count = 0;
    for (const Entry& entry : this->entries) {
      count += this->ToldAt(entry.target->Received()).size();
    }
    return count;
  }

  // A refusal means that the request has not run, a success is whole, and what may run once does.
  void CheckAnswers() const
  {
    std::map<std::string, std::size_t> runs;
    for (const Entry& entry : this->entries) {
      for (const fakes::ReceivedRequest& received : entry.target->Received()) {
        runs[received.id] += received.ran ? 1U : 0U;
      }
    }
    for (const auto& entry : this->sent) {
      const std::string& id = entry.first;
      const Sent& request = entry.second;
      CAPTURE(id);
      CAPTURE(request.path);
      const int status = request.answer.status;
      const auto found = runs.find(id);
      const std::size_t count = found == runs.end() ? 0 : found->second;
      const bool isRefused = status == 503 || status == 429 || status == 421 || status == 408;
      const bool isIdempotent = IsOn(request.path, "/look/") || IsOn(request.path, "/note/");
      if (isRefused && !isIdempotent) {
        CHECK(count == 0);
      }
      if (!isIdempotent) {
        CHECK(count <= 1);
      }
      if (status == 200 && request.answer.complete) {
        CHECK(count >= 1);
        const std::string expected = IsOn(request.path, "/look/") || IsOn(request.path, "/pay/")
                                       ? "answer of i-"
                                       : "id: 4\ndata: piece 4\n\n";
        CHECK(request.answer.body.find(expected) != std::string::npos);
      }
    }
  }

  // Returns whether an instance that knew of a target's leaving at a time, and was neither started
  // nor frozen since, sent it a request that its caller sent later than the bound.
  bool IsTooLate(const std::string& aId, std::size_t aInstance, Time aKnownAt) const
  {
    const auto found = this->sent.find(aId);
    return found != this->sent.end() && found->second.instance == aInstance &&
           found->second.at > aKnownAt + kDrainBound && this->calmSince[aInstance] < aKnownAt;
  }

  // Calls back with each request of a target's, the instance that sent it, and when that instance
  // had passed on the answer.
  template<typename Use>
  void ForEachAnswered(const std::vector<fakes::ReceivedRequest>& aReceived, const Use& aUse) const
  {
    for (const fakes::ReceivedRequest& received : aReceived) {
      const auto found = this->sent.find(received.id);
      if (found != this->sent.end()) {
        aUse(received, found->second.instance, found->second.answeredAt);
      }
    }
  }

  // Returns when each instance had passed on the first answer in which a target said that it
  // leaves.
  std::map<std::size_t, Time> ToldAt(const std::vector<fakes::ReceivedRequest>& aReceived) const
  {
    std::map<std::size_t, Time> toldAt;
    this->ForEachAnswered(aReceived, [&](const auto& aOne, std::size_t aInstance, Time aAt) {
      if (aOne.statedLeaving) {
        const auto known = toldAt.try_emplace(aInstance, aAt).first;
        known->second = std::min(known->second, aAt);
      }
    });
    return toldAt;
  }

  void CheckLeaving() const
  {
    for (const Entry& entry : this->entries) {
      CAPTURE(entry.target->Id());
      const auto all = entry.target->Received();
      const auto toldAt = this->ToldAt(all);
      for (const fakes::ReceivedRequest& received : all) {
        CAPTURE(received.id);
        for (const auto& [instance, at] : toldAt) {
          CHECK_FALSE(this->IsTooLate(received.id, instance, at));
        }
        for (std::size_t instance = 0; instance < this->addresses.size(); ++instance) {
          CHECK_FALSE((entry.drainedAt != Time::max() &&
                       this->IsTooLate(received.id, instance, entry.drainedAt)));
        }
      }
    }
  }

  void CheckPauses() const
  {
    for (const Entry& entry : this->entries) {
      CAPTURE(entry.target->Id());
      const auto all = entry.target->Received();
      // In the order of their arrival, so that those in a pause are found without a full search.
      std::vector<Sender> senders;
      this->ForEachAnswered(all, [&](const auto& aReceived, std::size_t aSender, Time) {
        senders.emplace_back(aReceived.at, aSender);
      });
      REQUIRE(std::is_sorted(senders.begin(), senders.end(), IsEarlier));
      this->ForEachAnswered(all, [&](const auto& aRefused, std::size_t aInstance, Time) {
        if (aRefused.retryAfter.empty() || this->calmSince[aInstance] >= aRefused.at) {
          return;
        }
        const auto pause = std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(std::stod(aRefused.retryAfter)));
        const Sender begin{ aRefused.at + kPauseBound, 0 };
        const Sender end{ aRefused.at + pause, 0 };
        const auto first = std::upper_bound(senders.begin(), senders.end(), begin, IsEarlier);
        const auto last = std::lower_bound(first, senders.end(), end, IsEarlier);
        const auto arrivals = std::count_if(
          first, last, [&](const Sender& aSender) { return aSender.second == aInstance; });
        CHECK(arrivals <= kMaxDuringPause);
      });
    }
  }

  // A request that ends targets arrives only so often once it has ended some, sent by instances
  // that were neither started nor frozen shortly before.
  void CheckFatalRequests() const
  {
    for (const std::string& path : this->fatalPaths) {
      CAPTURE(path);
      std::vector<Time> crashes;
      for (const Entry& entry : this->entries) {
        const auto all = entry.target->Received();
        const auto found = std::find_if(all.begin(), all.end(), [&](const auto& aReceived) {
          return aReceived.path == path && aReceived.ran;
        });
        if (found != all.end() && entry.target->HasEnded()) {
          crashes.push_back(found->at);
        }
      }
      if (crashes.size() < kAcceptedCrashes) {
        continue;
      }
      std::sort(crashes.begin(), crashes.end());
      const Time bound = crashes[kAcceptedCrashes - 1] + kStableWindow;
      std::size_t arrivals = 0;
      for (const Entry& entry : this->entries) {
        this->ForEachAnswered(
          entry.target->Received(), [&](const auto& aReceived, std::size_t aInstance, Time) {
            const bool isBound =
              aReceived.at > bound && aReceived.at > this->calmSince[aInstance] + kStableWindow;
            arrivals += aReceived.path == path && isBound ? 1U : 0U;
          });
      }
      CHECK(arrivals <= kMaxLaterArrivals);
    }
  }

  WireFleet fleet;
  std::mt19937 random;
  std::uint64_t version = 3;
  std::vector<Entry> entries;
  std::vector<WireStore::Copy> copies;
  std::set<std::string> fatalPaths;
  /// The newest of them, which callers repeat; empty if there is none yet.
  std::string fatalPath;
  /// Instances that have served the route that the newest configuration added.
  std::set<std::size_t> serving;
  std::size_t probes = 0;
  std::size_t boundProbes = 0;
  Time storeDisruptedAt = Clock::now();
  std::atomic<bool> stopping = false;
  mutable std::mutex mutex;
  /// Instances that callers connect to, by index of their start.
  std::vector<std::size_t> slots;
  std::vector<net::Address> addresses;
  /// Start of each instance or the end of its last freeze.
  std::vector<Time> calmSince;
  std::map<std::string, Sent> sent;
};

unsigned
NumberFromEnvironment(const char* aName, unsigned aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : static_cast<unsigned>(std::stoul(text));
}

} // namespace

TEST_CASE(
  "promises hold while targets leave, the store comes back from copies and instances restart")
{
  const unsigned first = NumberFromEnvironment("PLANTAINSLIP_SOAK_SEED", 1);
  const unsigned count = NumberFromEnvironment("PLANTAINSLIP_SOAK_SEEDS", 2);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    Soak soak(seed);
    soak.Run(25s);
    soak.Check();
  }
}

#include "usage_duty.hpp"

#include <algorithm>

#include <absl/strings/numbers.h>

#include <plantainslip/core/log.hpp>
#include <plantainslip/serving/errors.hpp>

namespace plantainslip::serving {

using usage::Window;

namespace {

const std::string kReportPrefix = "plantainslip/usage/";
const std::string kDutyName = "usage_report";
/// All windows are one subject, so that their calls are ordered.
const std::string kSubject = "usage";
constexpr milliseconds kReportLifetime{ 60'000 };
/// Reports of several windows share a lease. The rest of its duration is longer than the time in
/// which a window may be reported.
constexpr milliseconds kLeaseReuse{ 15'000 };

std::string
KeyOf(Window aWindow)
{
  return kReportPrefix + std::to_string(aWindow.Number());
}

} // namespace

UsageDuty::UsageDuty(AsyncStore& aStore,
                     const DutyCodec& aCodec,
                     PathMetrics& aMetrics,
                     const core::Clock& aClock,
                     const usage::WindowRules& aRules,
                     OnProgress aOnProgress)
  : store(aStore)
  , codec(aCodec)
  , metrics(aMetrics)
  , clock(aClock)
  , rules(aRules)
  , onProgress(std::move(aOnProgress))
{
}

void
UsageDuty::OnLeaseLost()
{
  this->hasReadStore = false;
  this->unanswered.reset();
  this->lease.reset();
  for (auto& [window, report] : this->reports) {
    report.isWritten = false;
  }
}

// Takes a report from the store. Returns false if this instance may have sent another one for the
// window, which happens after the store came back from a copy; then neither is sent any more.
bool
UsageDuty::Adopt(Window aWindow, const std::string& aBody)
{
  const auto [entry, isNew] = this->reports.try_emplace(aWindow);
  Report& report = entry->second;
  if (!isNew && report.isSent && report.body != aBody) {
    this->Finish(aWindow, "conflict");
    return false;
  }
  report.body = aBody;
  report.isWritten = true;
  return true;
}

Task<bool>
UsageDuty::ReadWritten()
{
  const auto items = co_await this->store.List(kReportPrefix, Freshness::kNewest);
  if (!items.ok()) {
    core::Log(core::LogLevel::kWarning,
              "usage: written reports not read",
              { { "error", std::string(items.status().message()) } });
    co_return false;
  }
  for (const StoreItem& item : items->items) {
    std::uint64_t number = 0;
    if (absl::SimpleAtoi(item.key.substr(kReportPrefix.size()), &number) &&
        Window(number) >= this->progress.doneBefore) {
      this->Adopt(Window(number), item.value);
    }
  }
  this->era = items->upTo.era.Number();
  this->firstOfTerm = this->rules.At(this->input.now);
  this->hasReadStore = true;
  co_return true;
}

Task<bool>
UsageDuty::ReadBack(Window aWindow)
{
  const std::string key = KeyOf(aWindow);
  const auto items = co_await this->store.List(key, Freshness::kNewest);
  if (!items.ok()) {
    co_return false;
  }
  for (const StoreItem& item : items->items) {
    if (item.key == key) {
      co_return this->Adopt(aWindow, item.value);
    }
  }
  co_return false;
}

// An earlier holder may have sent a report that the store has lost with its era.
bool
UsageDuty::MayMake(Window aWindow) const
{
  const usage::Progress& known = this->input.progress;
  const bool isOtherEra = known.era != 0 && known.era != this->era;
  return aWindow >= std::max(known.writtenBefore, this->progress.writtenBefore) &&
         (!isOtherEra || aWindow >= this->firstOfTerm);
}

Task<bool>
UsageDuty::EnsureLease()
{
  const core::MonotonicTime now = this->clock.Now();
  if (this->lease.has_value() && now - this->leaseGrantedAt <= kLeaseReuse) {
    co_return true;
  }
  const auto granted = co_await this->store.Grant(kReportLifetime);
  if (!granted.ok()) {
    co_return false;
  }
  this->lease = *granted;
  this->leaseGrantedAt = now;
  co_return true;
}

// Returns whether the store has the window's report.
Task<bool>
UsageDuty::EnsureWritten(const usage::ClosedWindow& aWindow)
{
  const Window window = aWindow.window;
  auto found = this->reports.find(window);
  if (found != this->reports.end() && found->second.isWritten) {
    co_return true;
  }
  if (found == this->reports.end()) {
    if (!this->MayMake(window)) {
      this->Finish(window, "lost");
      co_return false;
    }
    const PlatformCall call = this->codec.UsageReport(window.Number(), *aWindow.counts);
    found = this->reports.emplace(window, Report{ call.body }).first;
    this->metrics.Set("usage_instances_missing", "", aWindow.missingInstances);
  }
  const bool hasLease = co_await this->EnsureLease();
  if (!hasLease) {
    this->metrics.Count("usage_reports_total", "not_written");
    co_return false;
  }
  std::string key = KeyOf(window);
  std::string value = found->second.body;
  const auto written =
    co_await this->store.Put(std::move(key), std::move(value), *this->lease, core::Revision(0));
  if (written.ok()) {
    this->reports[window].isWritten = true;
    this->progress.era = written->era.Number();
    this->progress.writtenBefore = std::max(this->progress.writtenBefore, window.Next());
    this->Announce();
    co_return true;
  }
  if (core::IsError(written.status(), errors::kStoreConflict)) {
    // The key exists, or the lease has ended.
    this->lease.reset();
  }
  const bool exists = co_await this->ReadBack(window);
  if (!exists) {
    this->metrics.Count("usage_reports_total", "not_written");
  }
  co_return exists;
}

void
UsageDuty::Announce()
{
  this->onProgress(this->progress);
}

void
UsageDuty::Finish(Window aWindow, const std::string& aOutcome)
{
  core::Log(aOutcome == "done" ? core::LogLevel::kInfo : core::LogLevel::kWarning,
            "usage: window finished",
            { { "window", std::to_string(aWindow.Number()) }, { "outcome", aOutcome } });
  if (aOutcome != "done") {
    this->metrics.Count("usage_windows_missed_total", aOutcome);
  }
  this->done.insert(aWindow);
}

Task<void>
UsageDuty::Perform(DutyCalls& aCalls, DutyInput aInput)
{
  (void)aInput;
  const UsageInput now = this->input;
  this->progress.doneBefore = std::max(this->progress.doneBefore, now.progress.doneBefore);
  this->reports.erase(this->reports.begin(), this->reports.lower_bound(this->progress.doneBefore));
  this->done.erase(this->done.begin(), this->done.lower_bound(this->progress.doneBefore));
  if (now.ready.empty()) {
    co_return;
  }
  const bool isListed =
    this->unanswered.has_value() &&
    std::any_of(now.ready.begin(), now.ready.end(), [this](const usage::ClosedWindow& aWindow) {
      return aWindow.window == *this->unanswered;
    });
  if (!isListed) {
    this->unanswered.reset();
  }
  if (!this->hasReadStore) {
    const bool read = co_await this->ReadWritten();
    if (!read) {
      co_return;
    }
  }
  for (const usage::ClosedWindow& window : now.ready) {
    const bool isOther = this->unanswered.has_value() && *this->unanswered != window.window;
    // The input may be from before the last reports were finished.
    const bool isDone =
      window.window < this->progress.doneBefore || this->done.contains(window.window);
    if (isDone || isOther) {
      continue;
    }
    const bool isWritten = co_await this->EnsureWritten(window);
    if (this->done.contains(window.window)) {
      continue;
    }
    if (!isWritten || !aCalls.MayCall()) {
      break;
    }
    Report& report = this->reports[window.window];
    report.isSent = true;
    PlatformCall call = this->codec.UsageReport(window.window.Number(), {});
    call.body = report.body;
    std::string duty = kDutyName;
    std::string subject = kSubject;
    const CallOutcome outcome =
      co_await aCalls.Call(std::move(duty), std::move(subject), std::move(call));
    this->metrics.Count("usage_reports_total", OutcomeName(outcome));
    this->unanswered.reset();
    if (outcome == CallOutcome::kDone) {
      this->Finish(window.window, "done");
      continue;
    }
    if (outcome == CallOutcome::kUnknown) {
      this->unanswered = window.window;
    }
    if (outcome != CallOutcome::kFailed) {
      break;
    }
  }
  const Window before = this->progress.doneBefore;
  Window next = std::max(before, now.ready.front().window);
  while (this->done.contains(next)) {
    next = next.Next();
  }
  this->progress.doneBefore = std::max(before, next);
  if (this->progress.doneBefore != before) {
    this->Announce();
  }
}

} // namespace plantainslip::serving

#include "wire_store.hpp"

#include <stdexcept>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace plantainslip::fakes {

using nlohmann::json;
using serving::AnswerWriter;
using serving::CallerRequest;
using serving::Task;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 2 };

// Returns a query parameter without decoding it: the keys of these tests contain no escapes.
std::string
QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const std::string start = aName + "=";
  const std::size_t found = aTarget.find(start);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t begin = found + start.size();
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

Task<void>
Pause(std::chrono::milliseconds aTime)
{
  serving::asio::steady_timer timer(co_await serving::asio::this_coro::executor, aTime);
  serving::ErrorCode ignored;
  co_await timer.async_wait(serving::RedirectError(ignored));
}

} // namespace

WireStore::WireStore(serving::asio::io_context& aContext)
  : context(aContext)
{
  auto opened = serving::HttpListener::Open(
    aContext,
    { "127.0.0.1", 0 },
    this->clock,
    [this](const CallerRequest& aRequest, AnswerWriter& aWriter, serving::Cancellation&) {
      return this->Serve(aRequest, aWriter);
    });
  if (!opened.ok()) {
    throw std::runtime_error(std::string(opened.status().message()));
  }
  this->listener = std::move(*opened);
}

void
WireStore::ApplyChange(const std::string& aKey, Item aItem)
{
  aItem.revision = ++this->revision;
  const auto found = this->items.find(aKey);
  const bool isNew = found == this->items.end() || found->second.removed;
  aItem.created = isNew ? aItem.revision : found->second.created;
  this->items[aKey] = std::move(aItem);
}

void
WireStore::Put(const std::string& aKey, const std::string& aValue)
{
  const std::scoped_lock lock(this->mutex);
  Item item;
  item.value = aValue;
  this->ApplyChange(aKey, item);
}

void
WireStore::Remove(const std::string& aKey)
{
  const std::scoped_lock lock(this->mutex);
  Item item;
  item.removed = true;
  this->ApplyChange(aKey, item);
}

std::string
WireStore::Get(const std::string& aKey) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->items.find(aKey);
  return found == this->items.end() || found->second.removed ? "" : found->second.value;
}

std::size_t
WireStore::CountWatches(const std::string& aPrefix) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->watchCounts.find(aPrefix);
  return found == this->watchCounts.end() ? 0 : found->second;
}

void
WireStore::SetPageSize(std::size_t aItems)
{
  const std::scoped_lock lock(this->mutex);
  this->pageSize = aItems;
}

void
WireStore::SetListHook(OnList aHook)
{
  const std::scoped_lock lock(this->mutex);
  this->listHook = std::move(aHook);
}

void
WireStore::CallListHook(const std::string& aTarget)
{
  OnList hook;
  {
    const std::scoped_lock lock(this->mutex);
    hook = this->listHook;
  }
  if (hook) {
    hook(QueryParameter(aTarget, "prefix"), QueryParameter(aTarget, "after"));
  }
}

core::MonotonicTime
WireStore::LastRenewal(std::chrono::milliseconds aDuration) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->renewals.find(aDuration);
  return found == this->renewals.end() ? core::MonotonicTime{} : found->second;
}

void
WireStore::SetMode(Mode aMode)
{
  const std::scoped_lock lock(this->mutex);
  this->mode = aMode;
}

WireStore::Copy
WireStore::MakeCopy() const
{
  const std::scoped_lock lock(this->mutex);
  return { this->items, this->revision, this->nextLease };
}

void
WireStore::Restore(const Copy& aCopy)
{
  const std::scoped_lock lock(this->mutex);
  this->items = aCopy.items;
  this->revision = aCopy.revision;
  this->nextLease = aCopy.nextLease;
  this->leases.clear();
  ++this->era;
}

serving::HeaderList
WireStore::ResponseHeaders() const
{
  const std::scoped_lock lock(this->mutex);
  return { { "Store-Era", std::to_string(this->era) } };
}

void
WireStore::ExpireLeases()
{
  const std::scoped_lock lock(this->mutex);
  this->expiresLeases = true;
}

bool
WireStore::HoldsLease(std::uint64_t aLease) const
{
  const auto found = this->leases.find(aLease);
  return !this->expiresLeases || aLease == 0 ||
         (found != this->leases.end() && this->clock.Now() < found->second.endsAt);
}

void
WireStore::RemoveExpired()
{
  std::vector<std::string> ended;
  for (const auto& [key, item] : this->items) {
    if (!item.removed && !this->HoldsLease(item.lease)) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    Item item;
    item.removed = true;
    this->ApplyChange(key, item);
  }
}

void
WireStore::CompactHistory()
{
  const std::scoped_lock lock(this->mutex);
  this->compactedRevision = this->revision;
}

void
WireStore::Close()
{
  this->SetMode(Mode::kRefusing);
  this->listener->Close();
}

std::string
WireStore::ListItems(const std::string& aTarget) const
{
  const std::string prefix = QueryParameter(aTarget, "prefix");
  const std::string after = QueryParameter(aTarget, "after");
  json found = json::array();
  bool hasMore = false;
  for (const auto& [key, item] : this->items) {
    const bool isListed = key.starts_with(prefix) && key > after && !item.removed;
    hasMore = hasMore || (isListed && found.size() == this->pageSize);
    if (isListed && found.size() < this->pageSize) {
      found.push_back({ { "key", key },
                        { "value", absl::Base64Escape(item.value) },
                        { "revision", item.revision },
                        { "created", item.created },
                        { "lease", item.lease } });
    }
  }
  return json{
    { "items", found }, { "hasMore", hasMore }, { "storeRevision", this->revision }
  }.dump();
}

std::string
WireStore::ListChanges(const std::string& aPrefix, std::uint64_t aAfter) const
{
  json events = json::array();
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(aPrefix) || item.revision <= aAfter) {
      continue;
    }
    json event = { { "key", key }, { "revision", item.revision } };
    if (item.removed) {
      event["removed"] = true;
    } else {
      event["value"] = absl::Base64Escape(item.value);
      event["created"] = item.created;
      event["lease"] = item.lease;
    }
    events.push_back(event);
  }
  return events.empty() ? ""
                        : json{ { "events", events }, { "storeRevision", this->revision } }.dump();
}

std::pair<int, std::string>
WireStore::CommitTransaction(const std::string& aBody)
{
  const json body = json::parse(aBody);
  for (const json& row : body.at("setKeys")) {
    if (!this->HoldsLease(row.value("lease", std::uint64_t{ 0 }))) {
      return { 404, "{}" };
    }
  }
  for (const json& row : body.at("precondition")) {
    const auto found = this->items.find(row.at("key").get<std::string>());
    const bool absent = found == this->items.end() || found->second.removed;
    const std::uint64_t present = absent ? 0 : found->second.revision;
    if (present != row.at("revision").get<std::uint64_t>()) {
      return { 412, "{}" };
    }
  }
  for (const json& row : body.at("setKeys")) {
    Item item;
    absl::Base64Unescape(row.at("value").get<std::string>(), &item.value);
    item.lease = row.value("lease", std::uint64_t{ 0 });
    this->ApplyChange(row.at("key").get<std::string>(), item);
  }
  return { 200, json{ { "revision", this->revision } }.dump() };
}

std::pair<int, std::string>
WireStore::HandleCall(const CallerRequest& aRequest)
{
  const std::scoped_lock lock(this->mutex);
  const std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
  if (this->mode == Mode::kRefusing) {
    return { 503, "" };
  }
  this->RemoveExpired();
  if (path == "/plantainslip/kv-range") {
    return { 200, this->ListItems(aRequest.target) };
  }
  if (path == "/plantainslip/kv-txn") {
    return this->CommitTransaction(aRequest.body);
  }
  if (path == "/plantainslip/kv-lease") {
    const std::chrono::milliseconds duration(
      json::parse(aRequest.body).at("ttlMs").get<std::int64_t>());
    this->leases[this->nextLease] = { this->clock.Now() + duration, duration };
    return { 200, json{ { "lease", this->nextLease++ }, { "ttlMs", duration.count() } }.dump() };
  }
  if (path.starts_with("/plantainslip/kv-keep/")) {
    const std::uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
    const bool holds = lease < this->nextLease && this->HoldsLease(lease);
    if (holds) {
      this->leases[lease].endsAt = this->clock.Now() + this->leases[lease].duration;
      this->renewals[this->leases[lease].duration] = this->clock.Now();
    }
    return { holds ? 200 : 404, json{ { "ttlMs", 3'000 } }.dump() };
  }
  return { 404, "" };
}

Task<void>
WireStore::ServeWatch(const std::string& aTarget, AnswerWriter& aWriter)
{
  const std::string prefix = QueryParameter(aTarget, "prefix");
  const std::uint64_t after = std::stoull(QueryParameter(aTarget, "after"));
  const auto deadline =
    this->clock.Now() + std::chrono::milliseconds(std::stoll(QueryParameter(aTarget, "waitMs")));
  std::uint64_t eraAtStart = 0;
  {
    const std::scoped_lock lock(this->mutex);
    ++this->watchCounts[prefix];
    eraAtStart = this->era;
  }
  int status = 200;
  std::string body;
  while (body.empty() && status == 200) {
    {
      const std::scoped_lock lock(this->mutex);
      if (this->mode != Mode::kAvailable || this->era != eraAtStart) {
        status = 503;
      } else if (after < this->compactedRevision || after > this->revision) {
        status = 410;
      } else {
        body = this->ListChanges(prefix, after);
        if (body.empty() && this->clock.Now() >= deadline) {
          body = json{ { "events", json::array() }, { "storeRevision", this->revision } }.dump();
        }
      }
    }
    if (body.empty() && status == 200) {
      co_await Pause(kPollInterval);
    }
  }
  serving::HeaderList headers = this->ResponseHeaders();
  co_await aWriter.WriteWhole(status, std::move(headers), std::move(body));
}

Task<void>
WireStore::Serve(const CallerRequest& aRequest, AnswerWriter& aWriter)
{
  bool isSilent = true;
  while (isSilent) {
    {
      const std::scoped_lock lock(this->mutex);
      isSilent = this->mode == Mode::kSilent;
    }
    if (isSilent) {
      co_await Pause(kPollInterval);
    }
  }
  if (aRequest.target.starts_with("/plantainslip/kv-watch")) {
    co_await this->ServeWatch(aRequest.target, aWriter);
    co_return;
  }
  std::pair<int, std::string> response = this->HandleCall(aRequest);
  if (aRequest.target.starts_with("/plantainslip/kv-range")) {
    this->CallListHook(aRequest.target);
  }
  serving::HeaderList headers = this->ResponseHeaders();
  co_await aWriter.WriteWhole(response.first, std::move(headers), std::move(response.second));
}

} // namespace plantainslip::fakes

#pragma once

#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <string>

#include "http_listener.hpp"

namespace plantainslip::fakes {

/// @brief In-process fake of the platform's store, with the HTTP protocol that StoreWire uses.
///
/// Public functions may be called on any thread, except Close(); requests are served on the thread
/// of the context.
class WireStore
{
public:
  /// @brief How the store responds to calls.
  enum class Mode
  {
    /// @brief Every call is served.
    kAvailable,
    /// @brief Every call is refused with 503.
    kRefusing,
    /// @brief No call gets a response.
    kSilent,
  };

  explicit WireStore(serving::asio::io_context& aContext);

  /// @brief Closes all connections and ends all waiting calls.
  /// @note Must be called on the thread of the context.
  void Close();

  /// @brief Returns the address that the store listens on.
  net::Address Address() const { return this->listener->LocalAddress(); }

  /// @brief Writes a key unconditionally and without a lease, as the operator or a target would.
  void Put(const std::string& aKey, const std::string& aValue);

  /// @brief Removes a key.
  void Remove(const std::string& aKey);

  /// @brief Returns the value of a key, or an empty string if the key does not exist.
  std::string Get(const std::string& aKey) const;

  /// @brief Returns how many watch calls for a prefix have arrived so far.
  std::size_t CountWatches(const std::string& aPrefix) const;

  /// @brief Sets how many items a page of a list has at most.
  void SetPageSize(std::size_t aItems);

  /// @brief Called after a page of a list was read and before it is sent, with the prefix and the
  ///        key that the page begins after.
  using OnList = std::function<void(const std::string& aPrefix, const std::string& aAfter)>;

  /// @brief Sets the function that is called for every page of a list, on the context's thread.
  void SetListHook(OnList aHook);

  /// @brief Returns when the store last renewed a lease of a duration.
  core::MonotonicTime LastRenewal(std::chrono::milliseconds aDuration) const;

  /// @brief Sets how the store responds from now on, also to calls that are waiting.
  void SetMode(Mode aMode);

  /// @brief The store's data at some time.
  struct Copy;

  /// @brief Copies the data.
  Copy MakeCopy() const;

  /// @brief Goes back to a copy: revisions and lease ids are given out again, waiting watches are
  ///        cut, and the era grows by one.
  void Restore(const Copy& aCopy);

  /// @brief From now on leases end after their duration, with the keys that are bound to them, and
  ///        with their era. Without this call leases never end.
  void ExpireLeases();

  /// @brief Compacts the history: watches that start before the current revision get 410.
  void CompactHistory();

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool removed = false;
  };

public:
  struct Copy
  {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::uint64_t nextLease = 0;
  };

private:
  serving::Task<void> Serve(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter);
  serving::Task<void> ServeWatch(const std::string& aTarget, serving::AnswerWriter& aWriter);
  std::pair<int, std::string> HandleCall(const serving::CallerRequest& aRequest);
  std::string ListItems(const std::string& aTarget) const;
  void CallListHook(const std::string& aTarget);
  std::string ListChanges(const std::string& aPrefix, std::uint64_t aAfter) const;
  serving::HeaderList ResponseHeaders() const;
  std::pair<int, std::string> CommitTransaction(const std::string& aBody);
  void ApplyChange(const std::string& aKey, Item aItem);
  void RemoveExpired();
  bool HoldsLease(std::uint64_t aLease) const;

  mutable std::mutex mutex;
  std::map<std::string, Item> items;
  std::uint64_t revision = 1;
  std::uint64_t compactedRevision = 0;
  std::uint64_t nextLease = 1;
  std::uint64_t era = 1;
  struct GrantedLease
  {
    core::MonotonicTime endsAt;
    std::chrono::milliseconds duration{ 0 };
  };
  /// @brief Leases of this era; only used after ExpireLeases().
  std::map<std::uint64_t, GrantedLease> leases;
  bool expiresLeases = false;
  /// @brief Times of the last renewals, by the duration of the lease.
  std::map<std::chrono::milliseconds, core::MonotonicTime> renewals;
  std::map<std::string, std::size_t> watchCounts;
  std::size_t pageSize = std::numeric_limits<std::size_t>::max();
  OnList listHook;
  Mode mode = Mode::kAvailable;
  serving::asio::io_context& context;
  core::SystemClock clock;
  std::unique_ptr<serving::HttpListener> listener;
};

} // namespace plantainslip::fakes

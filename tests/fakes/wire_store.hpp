#pragma once

#include <map>
#include <mutex>
#include <string>

#include "front_door.hpp"

namespace plantainslip::fakes {

/// @brief The users' store, as their protocol describes it, in the test's own process.
///
/// Changes may come from any thread; requests are served on the thread of the context.
class WireStore
{
public:
  enum class Mode
  {
    kWell,
    /// @brief Every call is refused with 503.
    kRefusing,
    /// @brief No call is answered.
    kSilent,
  };

  explicit WireStore(serving::asio::io_context& aContext);

  /// @brief Address that the store listens on.
  /// @brief Ends all connections and all waiting calls; on the thread of the context.
  void Close();

  net::Address Address() const { return this->door->LocalAddress(); }

  /// @brief Writes a key as the operator or a target would.
  void Put(const std::string& aKey, const std::string& aValue);

  /// @brief Removes a key.
  void Remove(const std::string& aKey);

  /// @brief Gives the value of a key, or an empty text.
  std::string Get(const std::string& aKey) const;

  /// @brief Counts the watches of a prefix so far.
  std::size_t WatchesOf(const std::string& aPrefix) const;

  /// @brief Changes how calls are answered.
  void SetMode(Mode aMode);

  /// @brief Drops all changes so far from the history that watches read.
  void DropHistory();

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool removed = false;
  };

  serving::Task<void> Serve(const serving::CallerRequest& aRequest, serving::AnswerWriter& aWriter);
  serving::Task<void> ServeWatch(const std::string& aTarget, serving::AnswerWriter& aWriter);
  std::pair<int, std::string> Answer(const serving::CallerRequest& aRequest);
  std::string Range(const std::string& aTarget) const;
  std::string Events(const std::string& aPrefix, std::uint64_t aAfter) const;
  std::pair<int, std::string> Write(const std::string& aBody);
  void Change(const std::string& aKey, Item aItem);

  mutable std::mutex mutex;
  std::map<std::string, Item> items;
  std::uint64_t revision = 1;
  std::uint64_t historyFrom = 0;
  std::uint64_t nextLease = 1;
  std::map<std::string, std::size_t> watches;
  Mode mode = Mode::kWell;
  serving::asio::io_context& context;
  core::SystemClock clock;
  std::unique_ptr<serving::FrontDoor> door;
};

} // namespace plantainslip::fakes

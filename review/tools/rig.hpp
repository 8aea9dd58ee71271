#pragma once

/// @brief Small stand-ins for the cases of the review: a platform store, workers, clients and the
///        start of the gateway's processes. One file, blocking sockets, a thread per connection.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace rig {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline void
Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

/// @brief Milliseconds since the start of the case.
inline std::int64_t
Now()
{
  static const SteadyClock::time_point kStart = SteadyClock::now();
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - kStart).count();
}

inline std::uint64_t
UnixMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/// @brief Returns whether the case runs with its disruption: `TROUBLE=0` leaves it out.
inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// @brief Lines of what was sent, answered and run, each with its time in milliseconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }

  void Write(const std::string& aText)
  {
    const std::scoped_lock lock(this->mutex);
    char time[32];
    (void)std::snprintf(time, sizeof(time), "%8lld  ", static_cast<long long>(Now()));
    this->file << time << aText << "\n" << std::flush;
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

struct Endpoint
{
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;

  std::string Text() const { return this->host + ":" + std::to_string(this->port); }
};

inline sockaddr_in
ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.host.c_str(), &address.sin_addr);
  return address;
}

/// @brief Opens a listening socket; a port of 0 is replaced by a free one below those that the
///        system gives to outgoing connections.
inline int
Listen(Endpoint& aEndpoint)
{
  static std::atomic<unsigned> next = static_cast<unsigned>(::getpid()) * 7'919U;
  constexpr unsigned kFirstPort = 15'000;
  constexpr unsigned kPorts = 17'000;
  constexpr int kAttempts = 500;
  const bool isGiven = aEndpoint.port != 0;
  for (int attempt = 0; attempt < (isGiven ? 1 : kAttempts); ++attempt) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    Endpoint chosen = aEndpoint;
    if (!isGiven) {
      // Steps of more than one leave room for a pair of ports.
      constexpr unsigned kStep = 37;
      chosen.port = static_cast<std::uint16_t>(kFirstPort + next.fetch_add(kStep) % kPorts);
    }
    const sockaddr_in address = ToSocketAddress(chosen);
    constexpr int kBacklog = 512;
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
        ::listen(listener, kBacklog) == 0) {
      aEndpoint = chosen;
      return listener;
    }
    ::close(listener);
  }
  return -1;
}

inline int
Connect(const Endpoint& aEndpoint)
{
  const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(aEndpoint);
  if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(connection);
    return -1;
  }
  const int on = 1;
  ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

/// @brief Makes the next close of a connection a reset.
inline void
ResetOnClose(int aConnection)
{
  const linger reset{ 1, 0 };
  ::setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

inline bool
SendAll(int aConnection, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count = ::send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

/// @brief Head and body of a request or an answer.
struct Message
{
  std::string first;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& aName) const
  {
    const auto found = this->fields.find(Lower(aName));
    return found == this->fields.end() ? "" : found->second;
  }
  std::string Method() const { return this->first.substr(0, this->first.find(' ')); }
  std::string Target() const
  {
    const std::size_t start = this->first.find(' ') + 1;
    return this->first.substr(start, this->first.find(' ', start) - start);
  }
  int Status() const
  {
    return this->first.size() < 12 ? 0 : std::atoi(this->first.substr(9, 3).c_str());
  }
};

/// @brief Parses a head up to and without the empty line.
inline Message
ParseHead(const std::string& aHead)
{
  Message message;
  std::istringstream lines(aHead);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (message.first.empty()) {
      message.first = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
  }
  return message;
}

/// @brief Reads one request with a length from a connection; aBuffer holds what was read ahead.
inline bool
ReadRequest(int aConnection, std::string& aBuffer, Message& aRequest)
{
  std::array<char, 65'536> bytes{};
  while (true) {
    const std::size_t end = aBuffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      aRequest = ParseHead(aBuffer.substr(0, end));
      const std::string length = aRequest.Field("Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      if (aBuffer.size() >= end + 4 + size) {
        aRequest.body = aBuffer.substr(end + 4, size);
        aBuffer.erase(0, end + 4 + size);
        return true;
      }
    }
    const ssize_t count = ::recv(aConnection, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

inline std::string
FormatAnswer(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// @brief Server with a thread for each connection.
class Server
{
public:
  /// @brief Answers one request; returns whether the connection is kept.
  using Handler = std::function<bool(int aConnection, const Message& aRequest)>;

  explicit Server(Handler aHandler)
    : handler(std::move(aHandler))
  {
    this->Open();
  }
  ~Server() { this->Close(true); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const Endpoint& Address() const { return this->address; }

  /// @brief Listens, at the same address as before if there was one.
  bool Open()
  {
    this->listener = Listen(this->address);
    if (this->listener < 0) {
      return false;
    }
    this->stopping = false;
    this->acceptor = std::thread([this] { this->Accept(); });
    return true;
  }

  /// @brief Refuses new connections and ends all open ones, as the end of a process does.
  /// @param aReset  whether the connections are reset
  void Close(bool aReset)
  {
    if (this->stopping.exchange(true)) {
      return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    std::list<std::thread> ended;
    {
      const std::scoped_lock lock(this->mutex);
      for (const int connection : this->connections) {
        if (aReset) {
          ResetOnClose(connection);
        }
        ::shutdown(connection, SHUT_RDWR);
      }
      ended.swap(this->threads);
      this->endedThreads.clear();
    }
    for (std::thread& thread : ended) {
      thread.join();
    }
  }

  bool IsClosed() const { return this->stopping; }

private:
  void Accept()
  {
    while (!this->stopping) {
      const int connection = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (this->stopping || errno == EINVAL || errno == EBADF) {
          return;
        }
        continue;
      }
      const int on = 1;
      ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::scoped_lock lock(this->mutex);
      for (const auto ended : this->endedThreads) {
        ended->join();
        this->threads.erase(ended);
      }
      this->endedThreads.clear();
      this->connections.insert(connection);
      const auto thread = this->threads.emplace(this->threads.end());
      *thread = std::thread([this, connection, thread] { this->Serve(connection, thread); });
    }
  }

  void Serve(int aConnection, std::list<std::thread>::iterator aThread)
  {
    std::string buffer;
    Message request;
    while (ReadRequest(aConnection, buffer, request) && this->handler(aConnection, request)) {
    }
    const std::scoped_lock lock(this->mutex);
    this->connections.erase(aConnection);
    ::close(aConnection);
    if (!this->stopping) {
      this->endedThreads.push_back(aThread);
    }
  }

  Handler handler;
  Endpoint address;
  int listener = -1;
  std::atomic<bool> stopping = true;
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> connections;
  std::list<std::thread> threads;
  /// @brief Threads of connections that have ended, to be joined.
  std::vector<std::list<std::thread>::iterator> endedThreads;
};

inline std::string
EncodeBase64(const std::string& aText)
{
  static const char* const kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const char character : aText) {
    value = (value << 8U) | static_cast<unsigned char>(character);
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      out.push_back(kAlphabet[(value >> static_cast<unsigned>(bits)) & 63U]);
    }
  }
  if (bits > 0) {
    out.push_back(kAlphabet[(value << static_cast<unsigned>(6 - bits)) & 63U]);
  }
  while (out.size() % 4 != 0) {
    out.push_back('=');
  }
  return out;
}

inline std::string
DecodeBase64(const std::string& aText)
{
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const char character : aText) {
    unsigned digit = 0;
    if (character >= 'A' && character <= 'Z') {
      digit = static_cast<unsigned>(character - 'A');
    } else if (character >= 'a' && character <= 'z') {
      digit = static_cast<unsigned>(character - 'a') + 26;
    } else if (character >= '0' && character <= '9') {
      digit = static_cast<unsigned>(character - '0') + 52;
    } else if (character == '+' || character == '/') {
      digit = character == '+' ? 62 : 63;
    } else {
      break;
    }
    value = (value << 6U) | digit;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out.push_back(static_cast<char>((value >> static_cast<unsigned>(bits)) & 255U));
    }
  }
  return out;
}

/// @brief The platform's store, as the page on the protocol tells it.
class Store
{
public:
  Store()
    : server([this](int aConnection, const Message& aRequest) {
      return this->Serve(aConnection, aRequest);
    })
    , expirer([this] { this->ExpireLeases(); })
  {
  }
  ~Store()
  {
    {
      const std::scoped_lock lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    this->expirer.join();
    this->server.Close(true);
  }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Endpoint& Address() const { return this->server.Address(); }

  /// @brief Writes a key, as the operator or a worker does.
  /// @return the time of the store's acknowledgement
  std::int64_t Put(const std::string& aKey, const std::string& aValue)
  {
    const std::scoped_lock lock(this->mutex);
    this->Change(aKey, aValue, 0, false);
    return Now();
  }

  /// @brief Removes a key.
  /// @return the time of the store's acknowledgement
  std::int64_t Remove(const std::string& aKey)
  {
    const std::scoped_lock lock(this->mutex);
    this->Change(aKey, "", 0, true);
    return Now();
  }

  std::vector<std::string> Keys(const std::string& aPrefix)
  {
    const std::scoped_lock lock(this->mutex);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (key.starts_with(aPrefix)) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  std::string Value(const std::string& aKey)
  {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->items.find(aKey);
    return found == this->items.end() ? "" : found->second.value;
  }

private:
  struct Item
  {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool removed = false;
  };
  struct Lease
  {
    std::int64_t ttlMs = 0;
    std::int64_t endsAt = 0;
  };

  // Called with the lock held, as all functions below.
  void Change(const std::string& aKey,
              const std::string& aValue,
              std::uint64_t aLease,
              bool aRemoved)
  {
    const auto found = this->items.find(aKey);
    if (aRemoved && found == this->items.end()) {
      return;
    }
    Item item{ aKey, aValue, ++this->revision, 0, aLease, aRemoved };
    item.created = found == this->items.end() ? item.revision : found->second.created;
    this->history.push_back(item);
    if (aRemoved) {
      this->items.erase(aKey);
    } else {
      this->items[aKey] = item;
    }
    this->changed.notify_all();
  }

  void EndLease(std::uint64_t aLease)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Change(key, "", 0, true);
    }
    this->leases.erase(aLease);
  }

  void ExpireLeases()
  {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : this->leases) {
        if (Now() >= lease.endsAt) {
          ended.push_back(id);
        }
      }
      for (const std::uint64_t id : ended) {
        this->EndLease(id);
      }
      this->changed.wait_for(lock, milliseconds(20));
    }
  }

  static json ToJson(const Item& aItem)
  {
    if (aItem.removed) {
      return { { "key", aItem.key }, { "revision", aItem.revision }, { "removed", true } };
    }
    return { { "key", aItem.key },
             { "value", EncodeBase64(aItem.value) },
             { "revision", aItem.revision },
             { "created", aItem.created },
             { "lease", aItem.lease } };
  }

  static std::string Parameter(const std::string& aTarget, const std::string& aName)
  {
    const std::size_t query = aTarget.find('?');
    if (query == std::string::npos) {
      return "";
    }
    std::istringstream pairs(aTarget.substr(query + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      if (pair.starts_with(aName + "=")) {
        std::string value;
        for (std::size_t at = aName.size() + 1; at < pair.size(); ++at) {
          if (pair[at] == '%' && at + 2 < pair.size()) {
            value.push_back(
              static_cast<char>(std::strtol(pair.substr(at + 1, 2).c_str(), nullptr, 16)));
            at += 2;
          } else {
            value.push_back(pair[at]);
          }
        }
        return value;
      }
    }
    return "";
  }

  std::string List(const std::string& aTarget)
  {
    constexpr std::size_t kPage = 500;
    const std::string prefix = Parameter(aTarget, "prefix");
    const std::string after = Parameter(aTarget, "after");
    json found = json::array();
    bool hasMore = false;
    for (const auto& [key, item] : this->items) {
      if (key.starts_with(prefix) && (after.empty() || key > after)) {
        hasMore = found.size() >= kPage;
        if (hasMore) {
          break;
        }
        found.push_back(ToJson(item));
      }
    }
    return json{
      { "items", found }, { "hasMore", hasMore }, { "storeRevision", this->revision }
    }.dump();
  }

  std::pair<int, std::string> Commit(const std::string& aBody)
  {
    const json body = json::parse(aBody);
    json present = json::array();
    bool holds = true;
    for (const json& row : body.at("precondition")) {
      const auto found = this->items.find(row.at("key").get<std::string>());
      const std::uint64_t revisionNow = found == this->items.end() ? 0 : found->second.revision;
      holds = holds && revisionNow == row.at("revision").get<std::uint64_t>();
      if (found != this->items.end()) {
        present.push_back(ToJson(found->second));
      }
    }
    if (!holds) {
      return { 412, json{ { "items", present } }.dump() };
    }
    for (const json& row : body.at("setKeys")) {
      const std::uint64_t lease = row.value("lease", std::uint64_t{ 0 });
      if (lease != 0 && !this->leases.contains(lease)) {
        return { 404, "{}" };
      }
    }
    for (const json& row : body.at("setKeys")) {
      this->Change(row.at("key").get<std::string>(),
                   DecodeBase64(row.at("value").get<std::string>()),
                   row.value("lease", std::uint64_t{ 0 }),
                   false);
    }
    for (const json& key : body.at("remove")) {
      this->Change(key.get<std::string>(), "", 0, true);
    }
    return { 200, json{ { "revision", this->revision } }.dump() };
  }

  std::pair<int, std::string> Watch(const std::string& aTarget, std::unique_lock<std::mutex>& aLock)
  {
    const std::string prefix = Parameter(aTarget, "prefix");
    const std::uint64_t after = std::stoull(Parameter(aTarget, "after"));
    const std::int64_t deadline = Now() + std::stoll(Parameter(aTarget, "waitMs"));
    json events = json::array();
    while (true) {
      for (const Item& item : this->history) {
        if (item.revision > after && item.key.starts_with(prefix)) {
          events.push_back(ToJson(item));
        }
      }
      if (!events.empty() || Now() >= deadline || this->stopping) {
        return { 200, json{ { "events", events }, { "storeRevision", this->revision } }.dump() };
      }
      this->changed.wait_for(aLock, milliseconds(std::max<std::int64_t>(1, deadline - Now())));
    }
  }

  bool Serve(int aConnection, const Message& aRequest)
  {
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::pair<int, std::string> answer{ 404, "{}" };
    std::unique_lock lock(this->mutex);
    if (path == "/plantainslip/kv-range") {
      answer = { 200, this->List(target) };
    } else if (path == "/plantainslip/kv-watch") {
      answer = this->Watch(target, lock);
    } else if (path == "/plantainslip/kv-txn") {
      answer = this->Commit(aRequest.body);
    } else if (path == "/plantainslip/kv-lease") {
      const auto ttl = json::parse(aRequest.body).at("ttlMs").get<std::int64_t>();
      const std::uint64_t id = ++this->lastLease;
      this->leases[id] = { ttl, Now() + ttl };
      answer = { 200, json{ { "lease", id }, { "ttlMs", ttl } }.dump() };
    } else if (path.starts_with("/plantainslip/kv-keep/")) {
      const auto found = this->leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
      if (found != this->leases.end()) {
        found->second.endsAt = Now() + found->second.ttlMs;
        answer = { 200, json{ { "ttlMs", found->second.ttlMs } }.dump() };
      }
    }
    lock.unlock();
    return SendAll(aConnection,
                   FormatAnswer(answer.first, "Content-Type: application/json\r\n", answer.second));
  }

  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::map<std::string, Item> items;
  std::vector<Item> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t lastLease = 0;
  Server server;
  std::thread expirer;
};

/// @brief The path of one machine to the store: passes bytes on, unless it is cut.
class Path
{
public:
  explicit Path(Endpoint aTo)
    : to(std::move(aTo))
  {
    this->Open();
  }
  ~Path() { this->Cut(); }
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;

  const Endpoint& Address() const { return this->address; }

  /// @brief Resets all connections and refuses new ones.
  void Cut()
  {
    if (this->isCut.exchange(true)) {
      return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    std::list<std::thread> ended;
    {
      const std::scoped_lock lock(this->mutex);
      ended.swap(this->threads);
    }
    for (std::thread& thread : ended) {
      thread.join();
    }
  }

  /// @brief Ends a cut.
  void Open()
  {
    this->listener = Listen(this->address);
    this->isCut = false;
    this->acceptor = std::thread([this] { this->Accept(); });
  }

private:
  void Accept()
  {
    while (!this->isCut) {
      const int near = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (near < 0) {
        return;
      }
      const std::scoped_lock lock(this->mutex);
      this->threads.emplace_back([this, near] { this->Forward(near); });
    }
  }

  void Forward(int aNear)
  {
    const int far = Connect(this->to);
    std::array<pollfd, 2> polled = { pollfd{ aNear, POLLIN, 0 }, pollfd{ far, POLLIN, 0 } };
    std::array<char, 65'536> bytes{};
    bool open = far >= 0;
    while (open && !this->isCut) {
      constexpr int kPollMs = 10;
      ::poll(polled.data(), polled.size(), kPollMs);
      for (std::size_t side = 0; side < polled.size() && open; ++side) {
        if (polled[side].revents != 0) {
          const ssize_t count = ::recv(polled[side].fd, bytes.data(), bytes.size(), 0);
          open = count > 0 &&
                 SendAll(polled[1 - side].fd,
                         std::string_view(bytes.data(),
                                          static_cast<std::size_t>(std::max<ssize_t>(0, count))));
        }
      }
    }
    if (this->isCut) {
      ResetOnClose(aNear);
    }
    ::close(aNear);
    if (far >= 0) {
      ::close(far);
    }
  }

  Endpoint to;
  Endpoint address;
  int listener = -1;
  std::atomic<bool> isCut = true;
  std::thread acceptor;
  std::mutex mutex;
  std::list<std::thread> threads;
};

/// @brief One machine of the system: the gateway's process with its settings file.
class Gateway
{
public:
  struct Options
  {
    std::string name;
    std::string zone = "z1";
    Endpoint store;
    std::string folder;
    double linkMbps = 1'000.0;
  };

  explicit Gateway(Options aOptions)
    : options(std::move(aOptions))
  {
    for (int attempt = 0; attempt < 20 && !this->FindPorts(); ++attempt) {
    }
    json zones = { { "z1", "r" }, { "z2", "r" }, { "z3", "r" } };
    const json settings = {
      { "node", this->options.name },
      { "role", "gateway" },
      { "machineClass", "front" },
      { "serves", { "front" } },
      { "ip", "127.0.0.1" },
      { "zone", this->options.zone },
      { "region", "r" },
      { "zones", zones },
      { "listen", { { "front", this->front.Text() }, { "ready", this->ready.Text() } } },
      { "internalPorts", { this->internalPort, this->internalPort + 1 } },
      { "seeds", json::array() },
      { "bootstrap", true },
      { "heartbeatMs", 1'200 },
      { "limits", { { "linkMbps", this->options.linkMbps }, { "memoryMb", 260 } } },
      { "bounds",
        { { "stableWindowMs", 3'000 },
          { "drainMs", 2'000 },
          { "configMs", 2'000 },
          { "graceS", 8 },
          { "leaseMs", 3'000 },
          { "thawMs", 300 },
          { "budgetRatio", 0.2 },
          { "budgetWindowS", 10 },
          { "budgetSlack", 58 },
          { "fencingRequired", true } } },
      { "platform",
        { { "address", this->options.store.Text() },
          { "form", "kv" },
          { "writesPerS", 400 },
          { "readsPerS", 2'000 },
          { "historyS", 20 },
          { "minTtlMs", 1'000 } } },
    };
    this->settingsPath = this->options.folder + "/" + this->options.name + ".json";
    std::ofstream(this->settingsPath) << settings.dump(2);
    this->Start();
  }
  ~Gateway()
  {
    this->Signal(SIGCONT);
    this->Signal(SIGKILL);
    this->Wait();
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& Name() const { return this->options.name; }
  const Endpoint& Front() const { return this->front; }
  const Endpoint& Ready() const { return this->ready; }

  /// @brief Starts the process with the command of the deploy file.
  void Start()
  {
    const std::string log = this->options.folder + "/" + this->options.name + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
      // The process must not outlive the case.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("PLANTAINSLIP_SETTINGS", this->settingsPath.c_str(), 1);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(output, 1);
      ::dup2(output, 2);
      ::execl("target/apps/plantainslip-gateway", "target/apps/plantainslip-gateway", nullptr);
      ::_exit(127);
    }
  }

  void Signal(int aSignal) const
  {
    if (this->pid > 0) {
      ::kill(this->pid, aSignal);
    }
  }

  /// @brief Waits for the end of the process.
  void Wait()
  {
    if (this->pid > 0) {
      ::waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }

  /// @brief Returns whether the process has ended by itself.
  bool HasEnded()
  {
    int status = 0;
    if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid < 0;
  }

private:
  bool FindPorts()
  {
    Endpoint pair;
    std::vector<int> held;
    const auto hold = [&](Endpoint& aEndpoint) {
      held.push_back(Listen(aEndpoint));
      return held.back() >= 0;
    };
    this->front = {};
    this->ready = {};
    bool found = hold(this->front) && hold(this->ready) && hold(pair) && pair.port < 65'535;
    Endpoint next{ "127.0.0.1", static_cast<std::uint16_t>(pair.port + 1) };
    found = found && hold(next);
    this->internalPort = pair.port;
    for (const int listener : held) {
      if (listener >= 0) {
        ::close(listener);
      }
    }
    return found;
  }

  Options options;
  Endpoint front;
  Endpoint ready;
  std::uint16_t internalPort = 0;
  std::string settingsPath;
  pid_t pid = -1;
};

/// @brief What a client saw.
struct Answer
{
  /// @brief Zero if no head was received.
  int status = 0;
  Message head;
  std::string body;
  /// @brief Whether the end of the body was marked by its length or its last chunk.
  bool complete = false;
  std::int64_t endedAt = 0;
};

/// @brief Reads an answer to its end.
inline Answer
ReadAnswer(int aConnection, std::string& aBuffer, int aTimeoutMs)
{
  Answer answer;
  const std::int64_t deadline = Now() + aTimeoutMs;
  std::array<char, 65'536> bytes{};
  const auto readMore = [&] {
    pollfd polled{ aConnection, POLLIN, 0 };
    const std::int64_t left = deadline - Now();
    if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    const ssize_t count = ::recv(aConnection, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      aBuffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
  };
  std::size_t end = std::string::npos;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!readMore()) {
      answer.endedAt = Now();
      return answer;
    }
  }
  answer.head = ParseHead(aBuffer.substr(0, end));
  answer.status = answer.head.Status();
  aBuffer.erase(0, end + 4);
  if (Lower(answer.head.Field("Transfer-Encoding")) == "chunked") {
    while (true) {
      std::size_t line = aBuffer.find("\r\n");
      if (line != std::string::npos) {
        const std::size_t size = std::stoul(aBuffer.substr(0, line), nullptr, 16);
        if (aBuffer.size() >= line + 2 + size + 2) {
          answer.body += aBuffer.substr(line + 2, size);
          aBuffer.erase(0, line + 2 + size + 2);
          if (size == 0) {
            answer.complete = true;
            break;
          }
          continue;
        }
      }
      if (!readMore()) {
        break;
      }
    }
  } else {
    const std::string length = answer.head.Field("Content-Length");
    const std::size_t size = length.empty() ? std::string::npos : std::stoul(length);
    while (aBuffer.size() < size && readMore()) {
    }
    answer.complete = aBuffer.size() >= size && size != std::string::npos;
    answer.body = aBuffer.substr(0, std::min(size, aBuffer.size()));
    aBuffer.erase(0, answer.body.size());
  }
  answer.endedAt = Now();
  return answer;
}

/// @brief Sends a request on a new connection and reads the answer.
inline Answer
Call(const Endpoint& aTo, const std::string& aRequest, int aTimeoutMs)
{
  Answer answer;
  const int connection = Connect(aTo);
  if (connection < 0) {
    answer.endedAt = Now();
    return answer;
  }
  std::string buffer;
  if (SendAll(connection, aRequest)) {
    answer = ReadAnswer(connection, buffer, aTimeoutMs);
  }
  if (answer.complete && Lower(answer.head.Field("Connection")) == "close") {
    // The other side closes first, so that this port is not kept waiting.
    constexpr int kCloseMs = 200;
    pollfd polled{ connection, POLLIN, 0 };
    ::poll(&polled, 1, kCloseMs);
  }
  ::close(connection);
  return answer;
}

/// @brief Waits until all machines say that they are ready.
inline bool
AwaitReady(const std::vector<std::unique_ptr<Gateway>>& aGateways, int aTimeoutMs)
{
  const std::int64_t deadline = Now() + aTimeoutMs;
  for (const auto& gateway : aGateways) {
    while (Call(gateway->Ready(), "GET /plantainslip/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 500)
             .status != 200) {
      if (Now() > deadline || gateway->HasEnded()) {
        return false;
      }
      Sleep(50);
    }
  }
  return true;
}

/// @brief A route of the configuration.
inline json
Route(const std::string& aName, const std::string& aKind, const std::string& aService)
{
  return { { "name", aName },     { "host", "h.example" }, { "prefix", "/" + aName + "/" },
           { "kind", aKind },     { "timeoutMs", 5'000 },  { "targetLatencyMs", 500 },
           { "priority", 1 },     { "service", aService }, { "attempts", 1 },
           { "targetGapMs", 250 } };
}

/// @brief Limits on what clients may send.
inline json
CallerLimits()
{
  return { { "maxHeaderBytes", 16'384 },
           { "maxBodyBytes", 4'194'304 },
           { "headerTimeoutMs", 3'000 },
           { "idleTimeoutMs", 15'000 } };
}

/// @brief A worker's entry in the store.
inline json
Entry(const std::string& aService,
      const Endpoint& aAddress,
      const std::string& aZone,
      const std::string& aStage)
{
  json entry = { { "service", aService },  { "address", aAddress.Text() },
                 { "zone", aZone },        { "version", "1" },
                 { "slots", 128 },         { "state", "ready" },
                 { "coldRemainingMs", 0 }, { "sequence", 1 },
                 { "born", UnixMs() } };
  if (!aStage.empty()) {
    entry["stage"] = aStage;
    entry["models"] =
      json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } });
  }
  return entry;
}

} // namespace rig

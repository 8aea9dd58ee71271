#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

/// @brief Stand-ins for the review's scripts: the platform's store, workers, clients, a link and
/// the
///        processes under test. They use loopback addresses only and behave as the users' pages
///        say.
namespace review {

using nlohmann::json;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/// @brief A request or response as it was received.
struct Message
{
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// @brief Whether the body has the length that the message states, or ended with its last chunk.
  bool whole = false;

  /// @brief Returns a header's value, or an empty text.
  std::string Header(const std::string& aName) const;
  /// @brief Returns the status of a response, or 0 if there is none.
  int Status() const;
  /// @brief Returns the path of a request.
  std::string Path() const;
};

/// @brief One TCP connection; closed by the destructor.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @brief Connects to a port of the loopback address.
  static std::unique_ptr<Connection> Open(std::uint16_t aPort);

  bool Send(const std::string& aBytes);
  /// @brief Reads a message; without a stated length until the end of the connection.
  /// @return false if the connection ended before the head was complete
  bool Read(Message& aMessage, bool aIsResponse);
  /// @brief Reads some bytes; empty at the end of the connection.
  std::string ReadBytes();
  /// @brief Lets the destructor reset the connection.
  void Reset();

private:
  int descriptor;
  std::string buffer;
};

/// @brief Accepts connections on a free port of the loopback address, with a thread for each.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  /// @param aPort  port to listen on; 0 for any
  explicit Server(Handler aHandler, std::uint16_t aPort = 0);
  std::uint16_t Port() const { return this->port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

  /// @brief Closes the port; connections that are open stay so.
  void Stop();

private:
  Handler handler;
  int listener = -1;
  std::atomic<bool> stopped = false;
  std::uint16_t port = 0;
};

/// @brief Formats a response with a length.
std::string
FormatResponse(int aStatus,
               const std::vector<std::pair<std::string, std::string>>& aHeaders,
               const std::string& aBody);

/// @brief Writes what was sent, answered and run to the record, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aText);

private:
  std::mutex mutex;
  int file;
  SteadyTime startedAt = std::chrono::steady_clock::now();
};

/// @brief The platform's store, as the pages describe it: lists have pages, and changes are kept
/// for
///        20 s.
class Store
{
public:
  Store();
  std::string Address() const { return this->server.Address(); }

  /// @brief Writes a key, as the operator or a worker does. The return is the acknowledgement.
  SteadyTime Put(const std::string& aKey, const std::string& aValue);
  SteadyTime Remove(const std::string& aKey);

  /// @brief Writes keys in one transaction.
  void PutAll(const std::map<std::string, std::string>& aValues);

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool removed = false;
  };
  struct Lease
  {
    milliseconds duration{ 0 };
    SteadyTime endsAt;
  };

  void Serve(Connection& aConnection);
  std::pair<int, std::string> Handle(const Message& aRequest);
  std::pair<int, std::string> Watch(const Message& aRequest);
  std::pair<int, std::string> Commit(const json& aBody);
  std::string List(const std::string& aPrefix, const std::string& aAfter) const;
  void Change(const std::string& aKey, Item aItem);
  void EndLeases();

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  /// @brief A change of a key.
  struct Event
  {
    std::string key;
    Item item;
    SteadyTime at;
  };
  void DropOldHistory();

  /// @brief The changes of the last seconds, by revision.
  std::map<std::uint64_t, Event> history;
  /// @brief Up to here the changes are no longer kept.
  std::uint64_t droppedUpTo = 0;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 100;
  std::uint64_t nextLease = 7;
  Server server;
};

/// @brief A process that the script has started.
class Process
{
public:
  Process(std::vector<std::string> aCommand,
          std::vector<std::string> aEnvironment,
          const std::string& aLogPath);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Kill();

private:
  int id = -1;
};

/// @brief Instances of the gateway, one in each zone, started with the deploy file's command.
class Fleet
{
public:
  /// @param aZones  zones of the deployment
  Fleet(const std::string& aStore,
        const std::string& aFolder,
        const std::vector<std::string>& aZones);

  /// @brief Waits until all instances are ready.
  /// @return false if they are not within some seconds
  bool AwaitReady() const;

  /// @brief Ends all instances.
  void Stop() const;

  std::uint16_t CallersPort(std::size_t aIndex) const { return this->callers.at(aIndex); }

private:
  std::vector<std::uint16_t> callers;
  std::vector<std::uint16_t> readiness;
  std::vector<std::unique_ptr<Process>> processes;
};

/// @brief Returns a port that is free at the moment, and so are the next ones.
std::uint16_t
FindFreePorts(int aCount);

/// @brief Returns milliseconds since the Unix epoch.
std::uint64_t
UnixMilliseconds();

/// @brief Returns the time between two points in milliseconds.
long
Elapsed(SteadyTime aFrom, SteadyTime aTo);

/// @brief Returns whether the disruption is to be left out (TROUBLE=0).
bool
IsCalm();

void
Sleep(long aMilliseconds);

} // namespace review

// Stand-ins for scripts: the platform's store, workers and clients as threads of one program, and
// the gateway's processes. They speak what the users' pages say and nothing else.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the program started.
std::int64_t
NowMs();

/// Unix time in milliseconds.
std::int64_t
UnixMs();

void
SleepMs(std::int64_t aMs);

/// Sleeps until a time as NowMs() counts it.
void
SleepUntil(std::int64_t aAtMs);

/// Writes lines with their time to record.txt. Thread-safe.
class Recorder
{
public:
  explicit Recorder(const std::string& aPath);
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;
  void Line(const std::string& aText);
  void Line(std::int64_t aAtMs, const std::string& aText);

private:
  std::mutex mutex;
  std::FILE* file;
};

/// Returns a port of 127.0.0.1 that is free.
int
FreePort();

/// A TCP connection with buffered reads. Blocking; closed by its destructor.
class Socket
{
public:
  explicit Socket(int aDescriptor = -1)
    : descriptor(aDescriptor)
  {
  }
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Open() const { return this->descriptor >= 0; }
  int Descriptor() const { return this->descriptor; }
  bool Send(const std::string& aBytes);
  /// Reads a line without its end. Returns false at the end of the connection.
  bool ReadLine(std::string& aLine);
  bool ReadBytes(std::size_t aCount, std::string& aBytes);
  /// Whether the peer has closed the connection.
  bool PeerGone() const;
  void SetTimeout(std::int64_t aMs);
  void Close();
  /// Closes with a reset.
  void Reset();

private:
  bool Fill();

  int descriptor;
  std::string buffer;
};

/// A request as it arrives, or a response.
struct Message
{
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;

  std::string Header(const std::string& aName) const;
};

/// Reads a request. Returns false at the end of the connection.
bool
ReadRequest(Socket& aSocket, Message& aMessage);

/// Reads a response; its body by length, chunks or the end of the connection.
bool
ReadResponse(Socket& aSocket, Message& aMessage);

/// Formats a response with a length.
std::string
Response(int aStatus,
         const std::vector<std::pair<std::string, std::string>>& aHeaders,
         const std::string& aBody);

/// Connects to a loopback address. Not open if that failed.
std::unique_ptr<Socket>
Connect(const std::string& aHost, int aPort, std::int64_t aTimeoutMs);

/// Accepts connections on a loopback address and serves each on a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Socket&)>;

  explicit Server(Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  int Port() const { return this->port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  /// Stops accepting, resets the open connections and waits for their threads.
  void Stop();
  /// Stops accepting; open connections go on.
  void StopAccepting();

private:
  struct Connection
  {
    std::shared_ptr<Socket> socket;
    std::thread thread;
    std::shared_ptr<std::atomic<bool>> ended;
  };

  void Accept();

  Handler handler;
  int listener = -1;
  int port = 0;
  std::atomic<bool> stopped{ false };
  std::mutex mutex;
  std::vector<Connection> connections;
  std::thread acceptor;
};

/// The platform's metadata store, as PROTOCOL.md describes it.
class Store
{
public:
  explicit Store(Recorder& aRecorder);
  ~Store();
  int Port() const { return this->server->Port(); }
  std::string Address() const { return this->server->Address(); }

  /// Writes a key as the operator or a worker does. Returns its revision.
  std::uint64_t Put(const std::string& aKey, const std::string& aValue);
  /// Removes a key. Returns the revision.
  std::uint64_t Remove(const std::string& aKey);
  /// Calls a function after each page of a list has been answered, with its prefix and `after`.
  void OnList(std::function<void(const std::string&, const std::string&)> aCallback);
  /// Number of lists of a prefix that were begun.
  std::size_t Lists(const std::string& aPrefix);
  /// When the leases of the keys with a prefix were last renewed, by key.
  std::map<std::string, std::int64_t> RenewedAt(const std::string& aPrefix);
  /// Sets how many items a page has at most.
  void SetPageSize(std::size_t aItems) { this->pageSize = aItems; }

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event
  {
    std::uint64_t revision = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease
  {
    std::int64_t endsAt = 0;
    std::int64_t ttl = 0;
    std::int64_t renewedAt = 0;
  };

  void Serve(Socket& aSocket);
  std::string Answer(const Message& aRequest);
  std::string Watch(const Message& aRequest);
  void Expire();
  void ExpireLoop();
  std::uint64_t Change(const std::string& aKey, const Item* aItem);

  Recorder& recorder;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 100;
  std::uint64_t nextLease = 1;
  std::size_t pageSize = 500;
  std::map<std::string, std::size_t> lists;
  std::function<void(const std::string&, const std::string&)> onList;
  std::atomic<bool> stopped{ false };
  std::unique_ptr<Server> server;
  std::thread expirer;
};

/// A request that a worker got.
struct Arrival
{
  std::int64_t at = 0;
  std::string worker;
  std::string id;
  std::string method;
  std::string target;
  bool refused = false;
};

/// A worker of a plain service: serves one request at a time on a connection.
class Worker
{
public:
  Worker(Recorder& aRecorder,
         std::string aId,
         std::string aService,
         std::string aZone,
         std::int64_t aWorkMs);

  std::string Entry(const std::string& aState = "ready", std::int64_t aColdMs = 0) const;
  const std::string& Id() const { return this->id; }
  const std::string& Zone() const { return this->zone; }
  std::vector<Arrival> Arrivals();
  /// Ends after the requests that it has.
  void End();

private:
  void Serve(Socket& aSocket);

  Recorder& recorder;
  std::string id;
  std::string service;
  std::string zone;
  std::int64_t workMs;
  std::int64_t born;
  std::atomic<bool> leaving{ false };
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::unique_ptr<Server> server;
};

/// One machine of the system: its settings file and its process.
class Machine
{
public:
  /// @param aFolder  a temporary folder for settings and logs
  Machine(Recorder& aRecorder,
          const std::string& aFolder,
          std::string aName,
          std::string aZone,
          const std::vector<std::string>& aZones,
          const std::string& aStoreAddress);
  ~Machine();

  const std::string& Name() const { return this->name; }
  const std::string& Zone() const { return this->zone; }
  int FrontPort() const { return this->frontPort; }
  void Start();
  void Signal(int aSignal);
  /// Sends SIGKILL and waits for the end.
  void Kill();
  /// Returns whether the process has ended.
  bool HasEnded();
  /// Status of the readiness call; zero without an answer.
  int Readiness() const;

private:
  Recorder& recorder;
  std::string name;
  std::string zone;
  std::string settingsPath;
  std::string logPath;
  int frontPort = 0;
  int readyPort = 0;
  pid_t process = 0;
};

/// Answer of one call; status zero if the connection ended without a complete answer.
struct CallResult
{
  int status = 0;
  bool sealed = false;
  std::string body;
  std::int64_t sentAt = 0;
  std::int64_t endedAt = 0;
};

/// Sends one request on a new connection and reads the answer.
CallResult
Call(int aPort,
     const std::string& aMethod,
     const std::string& aHost,
     const std::string& aPath,
     const std::string& aId,
     const std::string& aBody,
     std::int64_t aDeadlineMs);

/// Configuration with the routes `/commit/` (unsafe) and `/status/` (safe) to the service
/// `entry-desk`.
std::string
DeskConfig(int aVersion);

/// Waits until a condition holds. Returns whether it did in time.
bool
Await(std::int64_t aForMs, const std::function<bool()>& aCondition);

/// Whether the script runs with its disruption: TROUBLE is not 0.
bool
HasTrouble();

} // namespace review

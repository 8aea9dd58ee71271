#include "stand_in.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

std::string
Base64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : aText) {
    bits = (bits << 8U) | static_cast<unsigned char>(character);
    count += 8;
    while (count >= 6) {
      count -= 6;
      encoded += kDigits[(bits >> static_cast<unsigned>(count)) & 63U];
    }
  }
  if (count > 0) {
    encoded += kDigits[(bits << static_cast<unsigned>(6 - count)) & 63U];
  }
  while (encoded.size() % 4 != 0) {
    encoded += '=';
  }
  return encoded;
}

std::string
FromBase64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string decoded;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : aText) {
    const std::size_t digit = kDigits.find(character);
    if (digit == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      decoded += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return decoded;
}

std::string
Query(const std::string& aTarget, const std::string& aName)
{
  const std::size_t begin = aTarget.find('?');
  std::stringstream fields(begin == std::string::npos ? "" : aTarget.substr(begin + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    if (field.rfind(aName + "=", 0) != 0) {
      continue;
    }
    std::string value;
    for (std::size_t at = aName.size() + 1; at < field.size(); ++at) {
      if (field[at] == '%') {
        value += static_cast<char>(std::stoi(field.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        value += field[at];
      }
    }
    return value;
  }
  return "";
}

bool
DecodeChunks(const std::string& aBytes, std::string& aBody, std::size_t& aUsed)
{
  aBody.clear();
  std::size_t at = 0;
  while (true) {
    const std::size_t end = aBytes.find("\r\n", at);
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t size = std::stoul(aBytes.substr(at, end - at), nullptr, 16);
    if (aBytes.size() < end + 2 + size + 2) {
      aBody += aBytes.substr(end + 2, size);
      return false;
    }
    aBody += aBytes.substr(end + 2, size);
    at = end + 2 + size + 2;
    if (size == 0) {
      aUsed = at;
      return true;
    }
  }
}

} // namespace

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : this->headers) {
    if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

int
Message::Status() const
{
  return this->startLine.size() > 12 ? std::atoi(this->startLine.c_str() + 9) : 0;
}

std::string
Message::Path() const
{
  const std::size_t begin = this->startLine.find(' ') + 1;
  return this->startLine.substr(begin, this->startLine.find(' ', begin) - begin);
}

Connection::~Connection()
{
  ::close(this->descriptor);
}

std::unique_ptr<Connection>
Connection::Open(std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(aPort);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::make_unique<Connection>(descriptor);
}

bool
Connection::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      ::send(this->descriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string
Connection::ReadBytes()
{
  if (!this->buffer.empty()) {
    return std::exchange(this->buffer, "");
  }
  std::string bytes(16'384, '\0');
  const ssize_t count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
  bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
  return bytes;
}

bool
Connection::Read(Message& aMessage, bool aIsResponse)
{
  aMessage = {};
  std::string bytes;
  std::size_t headEnd = std::string::npos;
  while (headEnd == std::string::npos) {
    const std::string more = this->ReadBytes();
    if (more.empty()) {
      return false;
    }
    bytes += more;
    headEnd = bytes.find("\r\n\r\n");
  }
  std::stringstream head(bytes.substr(0, headEnd + 2));
  std::string line;
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    if (aMessage.startLine.empty()) {
      aMessage.startLine = line;
      continue;
    }
    const std::size_t colon = line.find(": ");
    aMessage.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
  }
  bytes.erase(0, headEnd + 4);
  const std::string length = aMessage.Header("Content-Length");
  const bool isChunked = !aMessage.Header("Transfer-Encoding").empty();
  const bool untilEnd = aIsResponse && length.empty() && !isChunked;
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (true) {
    std::size_t used = 0;
    if (isChunked ? DecodeChunks(bytes, aMessage.body, used) : !untilEnd && bytes.size() >= size) {
      aMessage.whole = true;
      if (!isChunked) {
        aMessage.body = bytes.substr(0, size);
        used = size;
      }
      this->buffer = bytes.substr(used);
      return true;
    }
    const std::string more = this->ReadBytes();
    if (more.empty()) {
      if (!isChunked) {
        aMessage.body = bytes;
      }
      return true;
    }
    bytes += more;
  }
}

void
Connection::Reset()
{
  const linger reset{ 1, 0 };
  ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

Server::Server(Handler aHandler, std::uint16_t aPort)
  : handler(std::move(aHandler))
  , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = LoopbackAddress(aPort);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(this->listener, generic, size) != 0 || ::listen(this->listener, 256) != 0 ||
      ::getsockname(this->listener, generic, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  this->port = ntohs(address.sin_port);
  std::thread([this] {
    while (true) {
      const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0 && this->stopped) {
        return;
      }
      if (descriptor < 0) {
        continue;
      }
      const int noDelay = 1;
      ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
      std::thread([this, descriptor] {
        Connection connection(descriptor);
        this->handler(connection);
      }).detach();
    }
  }).detach();
}

void
Server::Stop()
{
  this->stopped = true;
  ::shutdown(this->listener, SHUT_RDWR);
  ::close(this->listener);
}

std::string
FormatResponse(int aStatus,
               const std::vector<std::pair<std::string, std::string>>& aHeaders,
               const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Record::Record(const std::string& aPath)
  : file(::open(aPath.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644))
{
}

void
Record::Write(const std::string& aText)
{
  const std::scoped_lock lock(this->mutex);
  const std::string line =
    std::to_string(Elapsed(this->startedAt, std::chrono::steady_clock::now())) + " ms  " + aText +
    "\n";
  (void)!::write(this->file, line.data(), line.size());
  (void)!::write(STDOUT_FILENO, line.data(), line.size());
}

Store::Store()
  : server([this](Connection& aConnection) { this->Serve(aConnection); })
{
  std::thread([this] {
    while (true) {
      Sleep(50);
      const std::scoped_lock lock(this->mutex);
      this->EndLeases();
    }
  }).detach();
}

void
Store::Change(const std::string& aKey, Item aItem)
{
  aItem.revision = ++this->revision;
  const auto found = this->items.find(aKey);
  aItem.created = found == this->items.end() ? aItem.revision : found->second.created;
  this->history[aItem.revision] = { aKey, aItem, std::chrono::steady_clock::now() };
  if (aItem.removed) {
    this->items.erase(aKey);
  } else {
    this->items[aKey] = std::move(aItem);
  }
  this->changed.notify_all();
}

void
Store::DropOldHistory()
{
  constexpr std::chrono::seconds kHistory{ 20 };
  const SteadyTime oldest = std::chrono::steady_clock::now() - kHistory;
  while (!this->history.empty() && this->history.begin()->second.at < oldest) {
    this->droppedUpTo = this->history.begin()->first;
    this->history.erase(this->history.begin());
  }
}

void
Store::EndLeases()
{
  const SteadyTime now = std::chrono::steady_clock::now();
  std::vector<std::string> ended;
  for (const auto& [key, item] : this->items) {
    const auto lease = this->leases.find(item.lease);
    if (item.lease != 0 && (lease == this->leases.end() || lease->second.endsAt <= now)) {
      ended.push_back(key);
    }
  }
  std::erase_if(this->leases, [now](const auto& aEntry) { return aEntry.second.endsAt <= now; });
  for (const std::string& key : ended) {
    Item item;
    item.removed = true;
    this->Change(key, item);
  }
}

SteadyTime
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::scoped_lock lock(this->mutex);
  Item item;
  item.value = aValue;
  this->Change(aKey, item);
  return std::chrono::steady_clock::now();
}

void
Store::PutAll(const std::map<std::string, std::string>& aValues)
{
  const std::scoped_lock lock(this->mutex);
  for (const auto& [key, value] : aValues) {
    Item item;
    item.value = value;
    this->Change(key, item);
  }
}

SteadyTime
Store::Remove(const std::string& aKey)
{
  const std::scoped_lock lock(this->mutex);
  Item item;
  item.removed = true;
  this->Change(aKey, item);
  return std::chrono::steady_clock::now();
}

void
Store::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.Read(request, false)) {
    const bool isWatch = request.Path().rfind("/plantainslip/kv-watch", 0) == 0;
    const auto [status, body] = isWatch ? this->Watch(request) : this->Handle(request);
    if (!aConnection.Send(
          FormatResponse(status, { { "Content-Type", "application/json" } }, body))) {
      return;
    }
  }
}

std::string
Store::List(const std::string& aPrefix, const std::string& aAfter) const
{
  constexpr std::size_t kMaxItems = 500;
  constexpr std::size_t kMaxBytes = 1'048'576;
  json found = json::array();
  std::size_t bytes = 0;
  bool hasMore = false;
  for (const auto& [key, item] : this->items) {
    if (key.rfind(aPrefix, 0) == 0 && key > aAfter) {
      hasMore =
        found.size() >= kMaxItems || (!found.empty() && bytes + item.value.size() > kMaxBytes);
      if (hasMore) {
        break;
      }
      bytes += item.value.size();
      found.push_back({ { "key", key },
                        { "value", Base64(item.value) },
                        { "revision", item.revision },
                        { "created", item.created },
                        { "lease", item.lease } });
    }
  }
  return json{
    { "items", found }, { "hasMore", hasMore }, { "storeRevision", this->revision }
  }.dump();
}

std::pair<int, std::string>
Store::Watch(const Message& aRequest)
{
  const std::string prefix = Query(aRequest.Path(), "prefix");
  const std::uint64_t after = std::stoull(Query(aRequest.Path(), "after"));
  const SteadyTime until =
    std::chrono::steady_clock::now() + milliseconds(std::stol(Query(aRequest.Path(), "waitMs")));
  std::unique_lock lock(this->mutex);
  json events = json::array();
  bool isOver = false;
  while (true) {
    this->DropOldHistory();
    if (after < this->droppedUpTo) {
      return { 410, "{}" };
    }
    for (auto change = this->history.upper_bound(after); change != this->history.end(); ++change) {
      const auto& [key, item, at] = change->second;
      if (key.rfind(prefix, 0) != 0) {
        continue;
      }
      json event = { { "key", key }, { "revision", item.revision } };
      if (item.removed) {
        event["removed"] = true;
      } else {
        event["value"] = Base64(item.value);
        event["created"] = item.created;
        event["lease"] = item.lease;
      }
      events.push_back(std::move(event));
    }
    if (!events.empty() || isOver) {
      return { 200, json{ { "events", events }, { "storeRevision", this->revision } }.dump() };
    }
    // A change may come as the wait ends, so the history is read once more.
    isOver = this->changed.wait_until(lock, until) == std::cv_status::timeout;
  }
}

std::pair<int, std::string>
Store::Commit(const json& aBody)
{
  for (const json& row : aBody.at("setKeys")) {
    const auto lease = row.value("lease", std::uint64_t{ 0 });
    if (lease != 0 && !this->leases.contains(lease)) {
      return { 404, "{}" };
    }
  }
  json present = json::array();
  bool holds = true;
  for (const json& row : aBody.at("precondition")) {
    const auto found = this->items.find(row.at("key").get<std::string>());
    const std::uint64_t known = found == this->items.end() ? 0 : found->second.revision;
    holds = holds && known == row.at("revision").get<std::uint64_t>();
  }
  if (!holds) {
    return { 412, json{ { "items", present } }.dump() };
  }
  for (const json& row : aBody.at("setKeys")) {
    Item item;
    item.value = FromBase64(row.at("value").get<std::string>());
    item.lease = row.value("lease", std::uint64_t{ 0 });
    this->Change(row.at("key").get<std::string>(), item);
  }
  for (const json& key : aBody.at("remove")) {
    Item item;
    item.removed = true;
    this->Change(key.get<std::string>(), item);
  }
  return { 200, json{ { "revision", this->revision } }.dump() };
}

std::pair<int, std::string>
Store::Handle(const Message& aRequest)
{
  const std::scoped_lock lock(this->mutex);
  this->EndLeases();
  const std::string target = aRequest.Path();
  const std::string path = target.substr(0, target.find('?'));
  const SteadyTime now = std::chrono::steady_clock::now();
  if (path == "/plantainslip/kv-range") {
    return { 200, this->List(Query(target, "prefix"), Query(target, "after")) };
  }
  if (path == "/plantainslip/kv-txn") {
    return this->Commit(json::parse(aRequest.body));
  }
  if (path == "/plantainslip/kv-lease") {
    const milliseconds duration(json::parse(aRequest.body).at("ttlMs").get<long>());
    this->leases[this->nextLease] = { duration, now + duration };
    return { 200, json{ { "lease", this->nextLease++ }, { "ttlMs", duration.count() } }.dump() };
  }
  if (path.rfind("/plantainslip/kv-keep/", 0) == 0) {
    const auto found = this->leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
    if (found == this->leases.end()) {
      return { 404, "{}" };
    }
    found->second.endsAt = now + found->second.duration;
    return { 200, json{ { "ttlMs", found->second.duration.count() } }.dump() };
  }
  return { 404, "{}" };
}

Process::Process(std::vector<std::string> aCommand,
                 std::vector<std::string> aEnvironment,
                 const std::string& aLogPath)
{
  const auto pointers = [](std::vector<std::string>& aTexts) {
    std::vector<char*> list;
    for (std::string& text : aTexts) {
      list.push_back(text.data());
    }
    list.push_back(nullptr);
    return list;
  };
  const std::vector<char*> arguments = pointers(aCommand);
  const std::vector<char*> environment = pointers(aEnvironment);
  this->id = ::fork();
  if (this->id == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(aLogPath.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(arguments.front(), arguments.data(), environment.data());
    ::_exit(127);
  }
}

Process::~Process()
{
  this->Kill();
}

void
Process::Kill()
{
  if (this->id > 0) {
    ::kill(this->id, SIGKILL);
    ::waitpid(this->id, nullptr, 0);
    this->id = -1;
  }
}

namespace {

// Returns the words of the command with which the deploy file starts the gateway.
std::vector<std::string>
DeployedCommand()
{
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("run = \"", 0) == 0) {
      std::stringstream words(line.substr(7, line.rfind('"') - 7));
      std::vector<std::string> command;
      std::string word;
      while (words >> word) {
        command.push_back(word);
      }
      return command;
    }
  }
  throw std::runtime_error("no run line in deploy/system.toml");
}

} // namespace

Fleet::Fleet(const std::string& aStore,
             const std::string& aFolder,
             const std::vector<std::string>& aZones)
{
  const json bounds = json::parse(R"({
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58, "recoveryS": 12,
    "transitMs": 120, "retryAfterS": 7.9, "fencingRequired": true, "leaseMs": 3000, "thawMs": 300 })");
  json regions = json::object();
  for (const std::string& zone : aZones) {
    regions[zone] = "region";
  }
  const std::vector<std::string> command = DeployedCommand();
  for (const std::string& zone : aZones) {
    constexpr int kPorts = 20;
    const std::uint16_t first = FindFreePorts(kPorts);
    const auto at = [first](int aOffset) { return "127.0.0.1:" + std::to_string(first + aOffset); };
    this->callers.push_back(first);
    this->readiness.push_back(static_cast<std::uint16_t>(first + 1));
    const json settings = {
      { "node", "front-" + zone + "-1" },
      { "role", "gateway" },
      { "machineClass", "front" },
      { "serves", { "front" } },
      { "ip", "127.0.0.1" },
      { "zone", zone },
      { "region", "region" },
      { "zones", regions },
      { "listen", { { "front", at(0) }, { "ready", at(1) } } },
      { "internalPorts", { first + 2, first + 17 } },
      { "seeds", json::array() },
      { "bootstrap", true },
      { "inFaultBudget", false },
      { "limits",
        { { "cpuShare", 0.25 },
          { "cores", 1 },
          { "memoryMb", 260 },
          { "maxFds", 4100 },
          { "linkMbps", 1000.0 },
          { "diskMb", 0 } } },
      { "dataDir", nullptr },
      { "discovery", "platform" },
      { "entryMode", "vip" },
      { "heartbeatMs", 1200 },
      { "contracts", { "base", "drain", "config", "cost", "retry", "recover", "split", "stream" } },
      { "faultTolerance", { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
      { "bounds", bounds },
      { "platform",
        { { "address", aStore },
          { "form", "kv" },
          { "writesPerS", 400 },
          { "readsPerS", 2000 },
          { "historyS", 20 },
          { "valueBytes", 1'048'576 },
          { "minTtlMs", 1000 } } }
    };
    const std::string path = aFolder + "/" + zone + ".json";
    std::ofstream(path) << settings.dump();
    this->processes.push_back(
      std::make_unique<Process>(command,
                                std::vector<std::string>{ "PLANTAINSLIP_SETTINGS=" + path },
                                aFolder + "/" + zone + ".log"));
  }
}

bool
Fleet::AwaitReady() const
{
  for (const std::uint16_t port : this->readiness) {
    bool ready = false;
    for (int attempt = 0; attempt < 150 && !ready; ++attempt) {
      Sleep(100);
      const auto connection = Connection::Open(port);
      Message response;
      ready = connection != nullptr &&
              connection->Send("GET /plantainslip/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
              connection->Read(response, true) && response.Status() == 200;
    }
    if (!ready) {
      return false;
    }
  }
  return true;
}

void
Fleet::Stop() const
{
  for (const auto& process : this->processes) {
    process->Kill();
  }
}

std::uint16_t
FindFreePorts(int aCount)
{
  static std::uint16_t next = static_cast<std::uint16_t>(20'000 + (::getpid() * 61) % 9'000);
  while (true) {
    bool free = true;
    for (int offset = 0; offset < aCount && free; ++offset) {
      for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
        const int descriptor = ::socket(AF_INET, type, 0);
        const sockaddr_in address = LoopbackAddress(static_cast<std::uint16_t>(next + offset));
        free =
          free &&
          ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
      }
    }
    const std::uint16_t first = next;
    next = static_cast<std::uint16_t>(next + aCount);
    if (free) {
      return first;
    }
  }
}

std::uint64_t
UnixMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count());
}

long
Elapsed(SteadyTime aFrom, SteadyTime aTo)
{
  return static_cast<long>(std::chrono::duration_cast<milliseconds>(aTo - aFrom).count());
}

bool
IsCalm()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

void
Sleep(long aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

} // namespace review

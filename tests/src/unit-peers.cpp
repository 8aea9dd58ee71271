#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <plantainslip/peers/errors.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/peers/peer_server.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)

namespace {

constexpr std::chrono::seconds kTimeout(20);
constexpr std::chrono::milliseconds kShort(50);

std::unique_ptr<peers::PeerServer>
Serve(peers::PeerHandlers aHandlers, unsigned aThreads = 16)
{
  peers::PeerServerOptions options;
  options.key = "key";
  options.threads = aThreads;
  return *peers::PeerServer::Create(options, std::move(aHandlers));
}

peers::PeerHandlers
Echo()
{
  peers::PeerHandlers handlers;
  handlers.calls["echo"] = [](const std::string& aBody) { return aBody; };
  return handlers;
}

} // namespace

TEST_CASE("a call between peers")
{
  auto client = peers::MakeHttp2PeerClient("key");

  SUBCASE("returns the complete answer, even if it exceeds the flow-control window")
  {
    const auto server = Serve(Echo());
    const std::string body(5'000'000, 'x');
    const auto answer = client->Call(server->ListeningAddress(), "echo", body, kTimeout);
    REQUIRE(answer.ok());
    CHECK(*answer == body);
  }

  SUBCASE("gets its own answer on a connection shared by many calls")
  {
    const auto server = Serve(Echo());
    std::atomic<int> wrong = 0;
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int caller = 0; caller < 8; ++caller) {
      callers.emplace_back([&, caller] {
        for (int call = 0; call < 50; ++call) {
          const std::string body = std::to_string(caller) + "/" + std::to_string(call);
          const auto answer = client->Call(server->ListeningAddress(), "echo", body, kTimeout);
          wrong += answer.ok() && *answer == body ? 0 : 1;
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(wrong == 0);
  }

  SUBCASE("is refused if no handler exists for its kind")
  {
    const auto server = Serve(Echo());
    const auto answer = client->Call(server->ListeningAddress(), "none", "", kTimeout);
    CHECK(core::IsError(answer.status(), peers::errors::kRefused));
  }

  SUBCASE("is refused with a wrong or an empty key")
  {
    const auto server = Serve(Echo());
    for (const char* key : { "", "kez", "key2" }) {
      const auto other = peers::MakeHttp2PeerClient(key);
      const auto answer = other->Call(server->ListeningAddress(), "echo", "", kTimeout);
      CHECK(core::IsError(answer.status(), peers::errors::kNotAuthorized));
    }
  }

  SUBCASE("is refused if its body exceeds the limit")
  {
    const auto server = Serve(Echo());
    std::string body;
    body.resize(9'000'000, 'x');
    const auto answer = client->Call(server->ListeningAddress(), "echo", body, kTimeout);
    CHECK(core::IsError(answer.status(), peers::errors::kRefused));
  }

  SUBCASE("returns the handler's error")
  {
    peers::PeerHandlers handlers;
    handlers.calls["no"] = [](const std::string&) -> absl::StatusOr<std::string> {
      return absl::InternalError("because");
    };
    const auto server = Serve(std::move(handlers));
    const auto answer = client->Call(server->ListeningAddress(), "no", "", kTimeout);
    CHECK(core::IsError(answer.status(), peers::errors::kRefused));
    CHECK(answer.status().message().find("because") != absl::string_view::npos);
  }

  SUBCASE("reports an unreachable peer if nothing listens")
  {
    auto server = Serve(Echo());
    const net::Address address = server->ListeningAddress();
    server->Stop();
    const auto answer = client->Call(address, "echo", "", kTimeout);
    CHECK(core::IsError(answer.status(), peers::errors::kUnreachable));
  }

  SUBCASE("is lost after a timeout, and the next call succeeds")
  {
    std::promise<void> release;
    auto released = release.get_future().share();
    peers::PeerHandlers handlers = Echo();
    handlers.calls["wait"] = [released](const std::string& aBody) {
      released.wait();
      return aBody;
    };
    const auto server = Serve(std::move(handlers));
    const auto answer = client->Call(server->ListeningAddress(), "wait", "", kShort);
    CHECK(core::IsError(answer.status(), peers::errors::kLost));
    CHECK(client->Call(server->ListeningAddress(), "echo", "x", kTimeout).ok());
    release.set_value();
  }

  SUBCASE("over the server's queue limit is refused before processing")
  {
    std::promise<void> release;
    auto released = release.get_future().share();
    peers::PeerHandlers handlers;
    handlers.calls["wait"] = [released](const std::string& aBody) {
      released.wait();
      return aBody;
    };
    const auto server = Serve(std::move(handlers), 1);
    constexpr int kCalls = 30;
    constexpr int kAccepted = 1 + 16;
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    callers.reserve(kCalls);
    for (int call = 0; call < kCalls; ++call) {
      callers.emplace_back([&] {
        const auto answer = client->Call(server->ListeningAddress(), "wait", "", kTimeout);
        answered += answer.ok() ? 1 : 0;
        const bool isUnreachable = core::IsError(answer.status(), peers::errors::kUnreachable);
        if (isUnreachable && ++refused == kCalls - kAccepted) {
          release.set_value();
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(refused == kCalls - kAccepted);
    CHECK(answered == kAccepted);
  }
}

TEST_CASE("a streamed answer between peers")
{
  auto client = peers::MakeHttp2PeerClient("key");
  peers::PeerHandlers handlers;
  std::promise<bool> senderStopped;
  handlers.streams["count"] = [](const std::string& aBody, const peers::SendPiece& aSend) {
    for (int piece = 0; piece < std::stoi(aBody); ++piece) {
      aSend(std::to_string(piece));
    }
    return absl::OkStatus();
  };
  handlers.streams["break"] = [](const std::string&, const peers::SendPiece& aSend) {
    aSend("first");
    return absl::InternalError("broken");
  };
  handlers.streams["endless"] = [&senderStopped](const std::string&,
                                                 const peers::SendPiece& aSend) {
    while (aSend(std::string(10'000, 'x'))) {
    }
    senderStopped.set_value(true);
    return absl::OkStatus();
  };
  auto server = Serve(std::move(handlers));
  const net::Address address = server->ListeningAddress();

  SUBCASE("arrives in the pieces that were sent, then ends")
  {
    const auto stream = client->OpenStream(address, "count", "1000", kTimeout);
    REQUIRE(stream.ok());
    for (int piece = 0; piece < 1000; ++piece) {
      const auto next = (*stream)->Next();
      REQUIRE(next.ok());
      REQUIRE(next->value_or("") == std::to_string(piece));
    }
    CHECK_FALSE((*stream)->Next()->has_value());
  }

  SUBCASE("that ends with an error is reported as incomplete")
  {
    const auto stream = client->OpenStream(address, "break", "", kTimeout);
    REQUIRE(stream.ok());
    CHECK((*stream)->Next()->value_or("") == "first");
    CHECK(core::IsError((*stream)->Next().status(), peers::errors::kRefused));
  }

  SUBCASE("ends at the sender when the reader disconnects")
  {
    auto stream = client->OpenStream(address, "endless", "", kTimeout);
    REQUIRE(stream.ok());
    CHECK((*stream)->Next()->has_value());
    stream->reset();
    CHECK(senderStopped.get_future().get());
  }

  SUBCASE("is lost when the server stops, and not reported as complete")
  {
    const auto stream = client->OpenStream(address, "endless", "", kTimeout);
    REQUIRE(stream.ok());
    server->Stop();
    auto next = (*stream)->Next();
    while (next.ok() && next->has_value()) {
      next = (*stream)->Next();
    }
    CHECK_FALSE(next.ok());
  }
}

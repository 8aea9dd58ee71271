#include <doctest/doctest.h>

#include <deque>

#include <doctest/trompeloeil.hpp>
#include <nlohmann/json.hpp>

#include <fakes/memory_store.hpp>

#include <plantainslip/peers/errors.hpp>
#include <plantainslip/requests/completions.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/spill_over.hpp>
#include <plantainslip/targets/errors.hpp>

using namespace plantainslip; // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

const auto& kAny = trompeloeil::_;

using Piece = absl::StatusOr<std::optional<std::string>>;

class MockEngines final : public trompeloeil::mock_interface<targets::EngineClient>
{
public:
  using Stream = absl::StatusOr<std::unique_ptr<targets::TokenStream>>;
  using Events = absl::StatusOr<std::vector<targets::CacheEvent>>;
  MAKE_MOCK2(Generate, Stream(const net::Address&, const targets::GenerateRequest&), override);
  MAKE_MOCK3(Cancel,
             absl::Status(const net::Address&, const core::RequestId&, core::AttemptNumber),
             override);
  MAKE_MOCK1(ReadReport, absl::StatusOr<targets::EngineReport>(const net::Address&), override);
  MAKE_MOCK2(ReadCacheEvents, Events(const net::Address&, std::uint64_t), override);
  MAKE_MOCK2(SendOrder, absl::Status(const net::Address&, const targets::EngineOrder&), override);
};

class MockServices final : public targets::ServiceClient
{
public:
  MAKE_MOCK2(Call,
             absl::StatusOr<targets::ServiceReply>(const net::Address&,
                                                   const targets::ServiceCall&),
             override);
};

class MockClaims final : public claims::ClaimBook
{
public:
  using Key = core::IdempotencyKey;
  MAKE_MOCK3(Claim,
             absl::StatusOr<claims::ClaimResult>(const Key&,
                                                 const core::RequestId&,
                                                 const std::string&),
             override);
  MAKE_MOCK4(Record,
             absl::Status(const Key&,
                          const core::RequestId&,
                          const std::string&,
                          const claims::RecordedOutcome&),
             override);
  MAKE_MOCK1(HandleCommit, absl::StatusOr<std::string>(const std::string&), override);
  MAKE_MOCK0(Flush, void(), override);
};

class MockPeers final : public peers::PeerClient
{
public:
  using Stream = absl::StatusOr<std::unique_ptr<peers::PeerStream>>;
  MAKE_MOCK4(Call,
             absl::StatusOr<std::string>(const net::Address&,
                                         const std::string&,
                                         const std::string&,
                                         std::chrono::milliseconds),
             override);
  MAKE_MOCK4(
    OpenStream,
    Stream(const net::Address&, const std::string&, const std::string&, std::chrono::milliseconds),
    override);
};

class ScriptedStream final : public peers::PeerStream
{
public:
  explicit ScriptedStream(std::deque<Piece> aPieces)
    : pieces(std::move(aPieces))
  {
  }

  Piece Next() override
  {
    Piece piece = this->pieces.empty() ? Piece(std::nullopt) : this->pieces.front();
    if (!this->pieces.empty()) {
      this->pieces.pop_front();
    }
    return piece;
  }

private:
  std::deque<Piece> pieces;
};

std::string
ToCbor(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

Piece
Text(std::uint64_t aOffset)
{
  return ToCbor({ { "offset", aOffset }, { "text", "w" + std::to_string(aOffset) } });
}

Piece
End(std::uint64_t aLength)
{
  return ToCbor({ { "offset", aLength }, { "end", "length" } });
}

Piece
NotRun()
{
  return ToCbor({ { "problem", "full" }, { "outcome", "not_run" } });
}

Piece
Lost()
{
  return core::MakeError(peers::errors::kLost, "killed");
}

MockPeers::Stream
Answer(std::deque<Piece> aPieces)
{
  return std::make_unique<ScriptedStream>(std::move(aPieces));
}

class RecordingSink final : public requests::AnswerSink
{
public:
  bool Text(core::TokenOffset /*aOffset*/, const std::string& aText) override
  {
    this->text += aText;
    return true;
  }

  bool Finish(const std::string& /*aReason*/, core::TokenOffset /*aLength*/) override
  {
    this->whole = true;
    return true;
  }

  bool Fail(const requests::Problem& aProblem) override
  {
    this->problem = aProblem;
    return true;
  }

  std::string text;
  bool whole = false;
  std::optional<requests::Problem> problem;
};

// An instance in zone a, with two peer instances and an engine in zone b.
struct Instance
{
  Instance()
  {
    auto configuration = std::make_shared<config::Configuration>();
    configuration->deployments[core::DeploymentName("reader")] = { "m", "1", {} };
    this->view.configuration = configuration;
    this->AddEngine("b", 0);
    for (const std::uint16_t port : { std::uint16_t{ 1 }, std::uint16_t{ 2 } }) {
      control::EntryView peer;
      peer.instance = core::InstanceId("entry-" + std::to_string(port));
      peer.zone = core::ZoneId("b");
      peer.peerAddress = { "127.0.0.1", port };
      this->view.entries.push_back(peer);
    }
    this->request.deployment = core::DeploymentName("reader");
    this->request.prompt = "p";
    this->request.maxTokens = core::TokenCount(3);
    this->request.deadline = std::chrono::minutes(10);
  }

  void AddEngine(const std::string& aZone, std::uint64_t aQueued)
  {
    control::EngineView engine;
    engine.target = core::TargetId("engine-" + aZone);
    engine.zone = core::ZoneId(aZone);
    engine.deployment = core::DeploymentName("reader");
    engine.report = targets::EngineReport();
    engine.report->model = "m";
    engine.report->version = "1";
    engine.report->queued = aQueued;
    this->view.engines.push_back(engine);
  }

  observe::RequestEnd Run()
  {
    this->board.Publish(std::make_shared<control::FleetView>(this->view));
    return requests::RunCompletion(
      this->context, this->request, { core::RequestId("r"), {}, {}, true }, this->sink);
  }

  core::ManualClock clock;
  fakes::MemoryStore store{ clock };
  MockEngines engines;
  MockServices services;
  MockClaims claims;
  MockPeers peers;
  control::ViewBoard board;
  control::FleetView view;
  requests::CompletionRequest request;
  RecordingSink sink;
  requests::RequestContext context{ .instance = core::InstanceId("entry-a"),
                                    .zone = core::ZoneId("a"),
                                    .operatorKey = {},
                                    .clock = clock,
                                    .store = store,
                                    .engines = engines,
                                    .services = services,
                                    .claims = claims,
                                    .peers = peers,
                                    .board = board,
                                    .resume = requests::ResumeSigner(""),
                                    .gate = {},
                                    .ledger = {},
                                    .deployments = {},
                                    .timeToFirstToken = {},
                                    .answerDuration = {},
                                    .inFlight = {},
                                    .randomMutex = {},
                                    .random = core::RandomSource(5) };
};

requests::SpilledCompletion
Spilled()
{
  requests::SpilledCompletion spilled;
  spilled.request = core::RequestId("r");
  spilled.attempt = core::AttemptNumber(2);
  spilled.completion.deployment = core::DeploymentName("reader");
  spilled.completion.prompt = "p";
  spilled.completion.maxTokens = core::TokenCount(3);
  spilled.completion.priority = -4;
  spilled.completion.deadline = std::chrono::minutes(1);
  spilled.offset = core::TokenOffset(7);
  spilled.version = "1";
  return spilled;
}

} // namespace

TEST_CASE("a spilled completion survives encoding and decoding")
{
  const auto read = requests::ParseSpilledCompletion(requests::FormatSpilledCompletion(Spilled()));
  REQUIRE(read.ok());
  CHECK(read->request == core::RequestId("r"));
  CHECK(read->attempt == core::AttemptNumber(2));
  CHECK(read->offset == core::TokenOffset(7));
  CHECK(read->version == "1");
  CHECK(read->completion.priority == -4);
  CHECK(read->completion.deadline == std::chrono::minutes(1));
}

TEST_CASE("a spilled completion truncated at any byte is refused")
{
  const std::string message = requests::FormatSpilledCompletion(Spilled());
  for (std::size_t length = 0; length < message.size(); ++length) {
    CHECK_FALSE(requests::ParseSpilledCompletion(message.substr(0, length)).ok());
  }
}

TEST_CASE("a peer's failure is reported as not run only if that is proven")
{
  MockPeers peers;
  const auto failure = [&](MockPeers::Stream aStream, int aPieces) {
    REQUIRE_CALL(peers, OpenStream(kAny, kAny, kAny, kAny)).LR_RETURN(std::move(aStream));
    auto stream = requests::OpenSpilledCompletion(
      peers, { "127.0.0.1", 1 }, Spilled(), std::chrono::seconds(1));
    if (!stream.ok()) {
      return stream.status();
    }
    for (int piece = 0; piece < aPieces; ++piece) {
      REQUIRE((*stream)->Next().ok());
    }
    return (*stream)->Next().status();
  };
  const auto outcome = [&](MockPeers::Stream aStream, int aPieces) {
    return targets::OutcomeOfFailure(failure(std::move(aStream), aPieces));
  };
  const auto unreachable = core::MakeError(peers::errors::kUnreachable, "gone");
  CHECK(outcome(unreachable, 0) == core::Outcome::kNotRun);
  CHECK(outcome(Answer({ NotRun() }), 0) == core::Outcome::kNotRun);
  CHECK(outcome(Answer({ Text(7), NotRun() }), 1) == core::Outcome::kUnknown);
  CHECK(outcome(Answer({ Lost() }), 0) == core::Outcome::kUnknown);
  CHECK(outcome(Answer({}), 0) == core::Outcome::kUnknown);
  CHECK(outcome(Answer({ std::string("no CBOR") }), 0) == core::Outcome::kUnknown);
}

TEST_CASE("if a peer fails during an answer, another one continues from the exact offset")
{
  Instance instance;
  std::vector<requests::SpilledCompletion> forwarded;
  REQUIRE_CALL(instance.peers, OpenStream(kAny, kAny, kAny, kAny))
    .TIMES(2)
    .LR_SIDE_EFFECT(forwarded.push_back(*requests::ParseSpilledCompletion(_3)))
    .LR_RETURN(forwarded.size() == 1 ? Answer({ Text(0), Text(1), Lost() })
                                     : Answer({ Text(2), End(3) }));
  CHECK(instance.Run() == observe::RequestEnd::kAnswered);
  CHECK(instance.sink.whole);
  CHECK(instance.sink.text == "w0w1w2");
  CHECK(forwarded[1].offset == core::TokenOffset(2));
  CHECK(forwarded[1].attempt != forwarded[0].attempt);
  CHECK(forwarded[1].version == "1");
}

TEST_CASE("a peer's refusal does not let a request bypass the local zone's full queues")
{
  Instance instance;
  instance.AddEngine("a", 1000);
  FORBID_CALL(instance.engines, Generate(kAny, kAny));
  ALLOW_CALL(instance.peers, OpenStream(kAny, kAny, kAny, kAny)).RETURN(Answer({ NotRun() }));
  CHECK(instance.Run() == observe::RequestEnd::kRefused);
  REQUIRE(instance.sink.problem.has_value());
  CHECK(instance.sink.problem->outcome == core::Outcome::kNotRun);
}

TEST_CASE("a completion received from a peer is never forwarded")
{
  Instance instance;
  instance.board.Publish(std::make_shared<control::FleetView>(instance.view));
  std::vector<json> pieces;
  const peers::SendPiece send = [&](const std::string& aPiece) {
    pieces.push_back(json::from_cbor(aPiece));
    return true;
  };
  FORBID_CALL(instance.peers, OpenStream(kAny, kAny, kAny, kAny));
  const std::string message = requests::FormatSpilledCompletion(Spilled());

  SUBCASE("when no engine can accept it")
  {
    CHECK(requests::HandleSpilledCompletion(instance.context, message, send).ok());
  }

  SUBCASE("when the instance is stopping")
  {
    instance.context.gate.Close();
    CHECK(requests::HandleSpilledCompletion(instance.context, message, send).ok());
  }

  REQUIRE(pieces.size() == 1);
  CHECK(pieces[0].at("outcome") == "not_run");
  CHECK(instance.context.ledger.OpenNow() == 0);
}

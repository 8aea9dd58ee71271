#include <plantainslip/requests/operator_calls.hpp>

#include <core/bounded_json.hpp>
#include <openssl/crypto.h>

#include <plantainslip/config/commands/submit_patch.hpp>
#include <plantainslip/config/queries/read_history.hpp>
#include <plantainslip/requests/errors.hpp>
#include <plantainslip/requests/problem.hpp>

namespace plantainslip::requests {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr std::size_t kMaxPatchBytes = 1'000'000;
constexpr core::JsonBounds kPatchBounds{ 32, kMaxPatchBytes };
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kOrderPrefix = "orders/";

// Names come from external input; invalid UTF-8 must not make serialization fail.
std::string
Dump(const json& aAnswer)
{
  return aAnswer.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool
IsOperator(const RequestContext& aContext, const net::HttpExchange& aExchange)
{
  const std::string actual = aExchange.HeaderValue("Authorization").value_or("");
  const std::string expected = std::string(kBearer) + aContext.operatorKey;
  if (aContext.operatorKey.empty() || actual.size() != expected.size()) {
    return false;
  }
  return CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) == 0;
}

void
Refuse(net::HttpExchange& aExchange, const absl::Status& aCause)
{
  const bool unknown = aCause.code() == absl::StatusCode::kUnknown;
  RespondProblem(aExchange,
                 { aCause, unknown ? core::Outcome::kUnknown : core::Outcome::kNotRun, {} });
}

json
ToJson(const config::ConfigurationRecord& aRecord)
{
  return json::parse(config::FormatRecord(aRecord));
}

void
ShowConfiguration(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const auto stored = aContext.store.Get(config::kConfigurationKey);
  if (!stored.ok()) {
    Refuse(aExchange, stored.status());
    return;
  }
  const config::ConfigurationRecord empty;
  const std::string record = stored->has_value() ? (*stored)->value : config::FormatRecord(empty);
  aExchange.Respond(kOk, "application/json", record);
}

void
ShowHistory(RequestContext& aContext, net::HttpExchange& aExchange)
{
  auto history = config::ReadHistory(aContext.store);
  if (!history.ok()) {
    Refuse(aExchange, history.status());
    return;
  }
  config::ConfigurationRecord all;
  all.history = *std::move(history);
  const json answer = { { "history", ToJson(all).at("history") } };
  aExchange.Respond(kOk, "application/json", answer.dump());
}

absl::StatusOr<config::PatchSubmission>
ReadSubmission(net::HttpExchange& aExchange)
{
  const auto body = aExchange.ReadBody(kMaxPatchBytes);
  if (!body.ok()) {
    return core::MakeError(errors::kBadRequest, body.status().message());
  }
  const auto parsed = core::ParseBoundedJson(*body, kPatchBounds);
  if (!parsed.ok()) {
    return core::MakeError(errors::kBadRequest,
                           "the body " + std::string(parsed.status().message()));
  }
  try {
    const json& text = *parsed;
    config::PatchSubmission submission;
    submission.patch = core::PatchId(text.at("patch").get<std::string>());
    submission.base = core::ConfigVersion(text.at("base").get<std::uint64_t>());
    submission.author = text.at("author").get<std::string>();
    submission.change = text.at("change").dump();
    return submission;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadRequest, problem.what());
  }
}

void
HandlePatch(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const auto submission = ReadSubmission(aExchange);
  if (!submission.ok()) {
    Refuse(aExchange, submission.status());
    return;
  }
  const auto record = config::SubmitPatch(aContext.store, *submission, aContext.clock);
  if (!record.ok()) {
    Refuse(aExchange, record.status());
    return;
  }
  aExchange.Respond(kOk, "application/json", Dump(ToJson(*record)));
}

json
DescribeEngine(const control::EngineView& aEngine)
{
  json line = { { "name", aEngine.target.Text() },
                { "kind", "engine" },
                { "zone", aEngine.zone.Text() },
                { "address", aEngine.address.Text() },
                { "leaving", aEngine.leaving },
                { "serves", aEngine.deployment.Text() },
                { "reported", aEngine.report.has_value() } };
  if (aEngine.report.has_value()) {
    line["role"] = targets::RoleName(aEngine.report->role);
    line["model"] = aEngine.report->model;
    line["version"] = aEngine.report->version;
    line["running"] = aEngine.report->running;
    line["queued"] = aEngine.report->queued;
    line["changing"] = aEngine.report->changing;
  }
  return line;
}

json
DescribeService(const control::ServiceView& aService)
{
  return { { "name", aService.target.Text() }, { "kind", "service" },
           { "zone", aService.zone.Text() },   { "address", aService.address.Text() },
           { "leaving", aService.leaving },    { "serves", aService.service.Text() } };
}

void
ShowFleet(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const auto view = aContext.board.Current();
  const auto& configuration = view->configuration;
  json answer = { { "instance", aContext.instance.Text() },
                  { "zone", aContext.zone.Text() },
                  { "version", configuration == nullptr ? 0 : configuration->version.Number() },
                  { "targets", json::array() },
                  { "instances", json::array() } };
  for (const control::EngineView& engine : view->engines) {
    answer["targets"].push_back(DescribeEngine(engine));
  }
  for (const control::ServiceView& service : view->services) {
    answer["targets"].push_back(DescribeService(service));
  }
  for (const control::EntryView& entry : view->entries) {
    answer["instances"].push_back({ { "name", entry.instance.Text() },
                                    { "zone", entry.zone.Text() },
                                    { "address", entry.address.Text() },
                                    { "leaving", entry.leaving },
                                    { "alive", entry.alive } });
  }
  aExchange.Respond(kOk, "application/json", Dump(answer));
}

// Shows entries as stored in the journal; an entry that cannot be parsed is shown by its name only.
void
ShowOrders(RequestContext& aContext, net::HttpExchange& aExchange)
{
  const auto entries = aContext.store.List(std::string(kOrderPrefix));
  if (!entries.ok()) {
    Refuse(aExchange, entries.status());
    return;
  }
  json answer = { { "orders", json::array() } };
  for (const platform::KeyedValue& entry : *entries) {
    json line = json::parse(entry.stored.value, nullptr, false);
    if (!line.is_object()) {
      line = { { "phase", "cannot be read" } };
    }
    line["target"] = entry.key.substr(kOrderPrefix.size());
    answer["orders"].push_back(std::move(line));
  }
  aExchange.Respond(kOk, "application/json", Dump(answer));
}

} // namespace

void
HandleOperatorCall(RequestContext& aContext, net::HttpExchange& aExchange)
{
  if (!IsOperator(aContext, aExchange)) {
    Refuse(aExchange, core::MakeError(errors::kNotAuthorized, "the operators' key is missing"));
    return;
  }
  const std::string call = aExchange.Method() + " " + aExchange.Path();
  if (call == "GET /v1/operator/configuration") {
    ShowConfiguration(aContext, aExchange);
  } else if (call == "GET /v1/operator/history") {
    ShowHistory(aContext, aExchange);
  } else if (call == "POST /v1/operator/patches") {
    HandlePatch(aContext, aExchange);
  } else if (call == "GET /v1/operator/fleet") {
    ShowFleet(aContext, aExchange);
  } else if (call == "GET /v1/operator/orders") {
    ShowOrders(aContext, aExchange);
  } else if (call == "POST /v1/operator/drains") {
    Refuse(aExchange,
           core::MakeError(errors::kNoSuchPath,
                           "this version drains through the platform's list and through orders; "
                           "mark the instance as leaving there"));
  } else {
    Refuse(aExchange, core::MakeError(errors::kNoSuchPath, call));
  }
}

} // namespace plantainslip::requests

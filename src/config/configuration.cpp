#include <plantainslip/config/configuration.hpp>

#include <set>

#include <core/bounded_json.hpp>

#include <plantainslip/config/errors.hpp>

namespace plantainslip::config {

namespace {

using nlohmann::json;

constexpr core::JsonBounds kDocumentBounds{ 32, 1'000'000 };

absl::Status
MakeInvalidError(const std::string& aPath, const std::string& aProblem)
{
  return core::MakeError(errors::kInvalid, aPath + ": " + aProblem);
}

absl::Status
CheckFields(const json& aObject, const std::string& aPath, const std::set<std::string>& aAllowed)
{
  if (!aObject.is_object()) {
    return MakeInvalidError(aPath, "must be an object");
  }
  for (const auto& item : aObject.items()) {
    if (!aAllowed.contains(item.key())) {
      return MakeInvalidError(aPath, "unknown field '" + item.key() + "'");
    }
  }
  return absl::OkStatus();
}

// The parsers below put the path of the offending item into their errors, so that operators can
// find it.
absl::Status
ParseDeployments(const json& aSection, Configuration& aConfiguration)
{
  for (const auto& item : aSection.items()) {
    const std::string path = "deployments/" + item.key();
    const absl::Status fieldsChecked =
      CheckFields(item.value(), path, { "model", "version", "adapters" });
    if (!fieldsChecked.ok()) {
      return fieldsChecked;
    }
    Deployment deployment;
    deployment.model = item.value().at("model").get<std::string>();
    deployment.version = item.value().at("version").get<std::string>();
    deployment.adapters = item.value().value("adapters", std::vector<std::string>());
    if (deployment.model.empty() || deployment.version.empty()) {
      return MakeInvalidError(path, "model and version must not be empty");
    }
    aConfiguration.deployments[core::DeploymentName(item.key())] = std::move(deployment);
  }
  return absl::OkStatus();
}

absl::Status
ParseServices(const json& aSection, Configuration& aConfiguration)
{
  for (const auto& item : aSection.items()) {
    const std::string path = "services/" + item.key();
    const absl::Status fieldsChecked = CheckFields(item.value(), path, { "repeatable" });
    if (!fieldsChecked.ok()) {
      return fieldsChecked;
    }
    ServiceRule rule;
    rule.repeatable = item.value().value("repeatable", false);
    aConfiguration.services[core::ServiceName(item.key())] = rule;
  }
  return absl::OkStatus();
}

absl::Status
ParseTargets(const json& aSection, Configuration& aConfiguration)
{
  static const std::set<std::string> kRoles = { "auto", "mixed", "prefill", "decode" };
  for (const auto& item : aSection.items()) {
    const std::string path = "targets/" + item.key();
    const absl::Status fieldsChecked =
      CheckFields(item.value(), path, { "deployment", "role", "checks_fencing" });
    if (!fieldsChecked.ok()) {
      return fieldsChecked;
    }
    TargetRule rule;
    rule.deployment = core::DeploymentName(item.value().at("deployment").get<std::string>());
    rule.role = item.value().value("role", std::string("mixed"));
    rule.checksFencing = item.value().value("checks_fencing", false);
    if (!aConfiguration.deployments.contains(rule.deployment)) {
      return MakeInvalidError(path, "unknown deployment '" + rule.deployment.Text() + "'");
    }
    if (!kRoles.contains(rule.role)) {
      return MakeInvalidError(path,
                              "role '" + rule.role + "' is not auto, mixed, prefill or decode");
    }
    aConfiguration.targets[core::TargetId(item.key())] = std::move(rule);
  }
  return absl::OkStatus();
}

absl::StatusOr<WorkspaceLimit>
ParseLimit(const json& aSection, const std::string& aPath)
{
  const absl::Status fieldsChecked =
    CheckFields(aSection, aPath, { "requests_per_second", "tokens_per_second" });
  if (!fieldsChecked.ok()) {
    return fieldsChecked;
  }
  WorkspaceLimit limit;
  limit.requestsPerSecond = aSection.value("requests_per_second", 0.0);
  limit.tokensPerSecond = aSection.value("tokens_per_second", 0.0);
  if (limit.requestsPerSecond < 0.0 || limit.tokensPerSecond < 0.0) {
    return MakeInvalidError(aPath, "a rate must not be negative");
  }
  return limit;
}

absl::Status
ParseLimits(const json& aSection, Configuration& aConfiguration)
{
  for (const auto& item : aSection.items()) {
    const auto limit = ParseLimit(item.value(), "limits/" + item.key());
    if (!limit.ok()) {
      return limit.status();
    }
    if (item.key() == "default") {
      aConfiguration.defaultLimit = *limit;
    } else {
      aConfiguration.limits[core::WorkspaceId(item.key())] = *limit;
    }
  }
  return absl::OkStatus();
}

absl::Status
ParseWeights(const json& aSection, Configuration& aConfiguration)
{
  const absl::Status fieldsChecked =
    CheckFields(aSection, "weights", { "goodput", "role_changes" });
  if (!fieldsChecked.ok()) {
    return fieldsChecked;
  }
  aConfiguration.weights.goodput = aSection.value("goodput", 1.0);
  aConfiguration.weights.roleChanges = aSection.value("role_changes", 1.0);
  if (aConfiguration.weights.goodput < 0.0 || aConfiguration.weights.roleChanges < 0.0) {
    return MakeInvalidError("weights", "a weight must not be negative");
  }
  return absl::OkStatus();
}

absl::Status
ParseSections(const json& aDocument, Configuration& aConfiguration)
{
  using Parser = absl::Status (*)(const json&, Configuration&);
  // Deployments come first, since targets refer to them.
  const std::pair<const char*, Parser> parsers[] = { { "deployments", &ParseDeployments },
                                                     { "services", &ParseServices },
                                                     { "targets", &ParseTargets },
                                                     { "limits", &ParseLimits },
                                                     { "weights", &ParseWeights } };
  for (const auto& [name, parse] : parsers) {
    const json section = aDocument.value(name, json::object());
    if (!section.is_object()) {
      return MakeInvalidError(name, "must be an object");
    }
    if (const absl::Status parsed = parse(section, aConfiguration); !parsed.ok()) {
      return parsed;
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Configuration>
ParseConfiguration(core::ConfigVersion aVersion, const std::string& aDocument)
{
  const auto parsedDocument = core::ParseBoundedJson(aDocument, kDocumentBounds);
  if (!parsedDocument.ok()) {
    return core::MakeError(errors::kInvalid,
                           "the document " + std::string(parsedDocument.status().message()));
  }
  const json& document = *parsedDocument;
  const absl::Status fieldsChecked = CheckFields(
    document, "document", { "deployments", "services", "targets", "limits", "weights" });
  if (!fieldsChecked.ok()) {
    return fieldsChecked;
  }
  Configuration configuration;
  configuration.version = aVersion;
  try {
    if (const absl::Status parsed = ParseSections(document, configuration); !parsed.ok()) {
      return parsed;
    }
  } catch (const json::exception& problem) {
    return MakeInvalidError("document", problem.what());
  }
  return configuration;
}

} // namespace plantainslip::config

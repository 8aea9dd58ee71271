#pragma once

#include <memory>
#include <string>
#include <vector>

#include <plantainslip/control/fleet_view.hpp>
#include <plantainslip/routing/engine_knowledge.hpp>
#include <plantainslip/routing/in_flight.hpp>

#include "engine_model.hpp"

namespace plantainslip::bench {

/// @brief How a modelled zone is made up, and how late its instances learn of its engines.
struct FleetSize
{
  std::size_t engines = 12;
  std::size_t instances = 4;
  EngineSize engine;
  Seconds reportInterval{ 0.5 };
  /// @brief Age of reports and cache events when they reach an instance.
  Seconds reportLag{ 0.5 };
  /// @brief Share of the batches of cache events that are lost.
  double gapShare = 0.0;
};

/// @brief What one entry instance knows. The decisions take it as they do in the process.
struct InstanceModel
{
  std::shared_ptr<control::FleetView> view = std::make_shared<control::FleetView>();
  routing::InFlight inFlight;
  routing::EngineKnowledge knowledge;
};

/// @brief One zone's engines and the instances before them, with lagging reports.
class FleetModel
{
public:
  FleetModel(Simulation& aSimulation, FleetSize aSize, std::uint64_t aSeed)
    : simulation(aSimulation)
    , size(aSize)
    , random(aSeed)
  {
    auto configuration = std::make_shared<config::Configuration>();
    configuration->deployments[core::DeploymentName("d")] = { "m", "1", {} };
    for (std::size_t number = 0; number < aSize.engines; ++number) {
      this->engines.push_back(std::make_unique<EngineModel>(aSimulation, aSize.engine));
      this->names.emplace_back("engine-" + std::to_string(number));
    }
    for (std::size_t number = 0; number < aSize.instances; ++number) {
      this->instances.push_back(std::make_unique<InstanceModel>());
      this->FillView(*this->instances.back()->view, configuration);
    }
    for (std::size_t number = 0; number < aSize.engines; ++number) {
      this->ReportLater(number);
    }
  }

  EngineModel& Engine(std::size_t aNumber) { return *this->engines[aNumber]; }
  const core::TargetId& Name(std::size_t aNumber) const { return this->names[aNumber]; }
  std::size_t Engines() const { return this->engines.size(); }
  InstanceModel& AnyInstance()
  {
    return *this->instances[this->random.Below(this->instances.size())];
  }

  std::size_t NumberOf(const core::TargetId& aTarget) const
  {
    const auto found = std::find(this->names.begin(), this->names.end(), aTarget);
    return static_cast<std::size_t>(found - this->names.begin());
  }

  /// @brief Takes an engine out of all views; what it works on goes on.
  void TakeOut(std::size_t aNumber)
  {
    for (const auto& instance : this->instances) {
      instance->view->engines[aNumber].leaving = true;
      instance->knowledge.OnNoReport(this->names[aNumber]);
    }
  }

  /// @brief Gives the greatest load of any engine.
  std::uint64_t GreatestLoad() const
  {
    std::uint64_t greatest = 0;
    for (const auto& engine : this->engines) {
      greatest = std::max(greatest, engine->Load());
    }
    return greatest;
  }

private:
  void FillView(control::FleetView& aView,
                const std::shared_ptr<const config::Configuration>& aConfiguration) const
  {
    aView.configuration = aConfiguration;
    control::EntryView entry;
    entry.zone = core::ZoneId("a");
    aView.entries.assign(this->size.instances, entry);
    for (std::size_t number = 0; number < this->names.size(); ++number) {
      control::EngineView engine;
      engine.target = this->names[number];
      engine.zone = core::ZoneId("a");
      engine.deployment = core::DeploymentName("d");
      engine.report = this->engines[number]->Report();
      aView.engines.push_back(std::move(engine));
    }
  }

  void ReportLater(std::size_t aNumber)
  {
    const Seconds phase = this->size.reportInterval * this->random.Fraction();
    this->simulation.After(phase, [this, aNumber] { this->Report(aNumber); });
  }

  void Report(std::size_t aNumber)
  {
    const targets::EngineReport report = this->engines[aNumber]->Report();
    auto events = this->engines[aNumber]->TakeEvents();
    const bool lost = this->random.Fraction() < this->size.gapShare;
    this->simulation.After(this->size.reportLag,
                           [this, aNumber, report, lost, events = std::move(events)] {
                             this->Arrive(aNumber, report, lost ? decltype(events)() : events);
                           });
    this->simulation.After(this->size.reportInterval, [this, aNumber] { this->Report(aNumber); });
  }

  void Arrive(std::size_t aNumber,
              const targets::EngineReport& aReport,
              const std::vector<targets::CacheEvent>& aEvents)
  {
    for (const auto& instance : this->instances) {
      control::EngineView& engine = instance->view->engines[aNumber];
      engine.report = aReport;
      engine.reportedAt = this->simulation.Now();
      instance->knowledge.OnReport(engine.target, aReport);
      instance->knowledge.OnCacheEvents(engine.target, aEvents, this->simulation.Now());
    }
  }

  Simulation& simulation;
  FleetSize size;
  core::RandomSource random;
  std::vector<core::TargetId> names;
  std::vector<std::unique_ptr<EngineModel>> engines;
  std::vector<std::unique_ptr<InstanceModel>> instances;
};

} // namespace plantainslip::bench

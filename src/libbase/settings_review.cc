#include <map>
#include <utility>

#include "savoryring/review.h"

namespace savoryring {
namespace {

class SettingsReview {
 public:
  explicit SettingsReview(const Settings& settings) : settings(&settings) {}

  std::vector<ReviewFinding> Run() {
    this->ReviewTiming();
    this->ReviewAddresses();
    this->ReviewUnusedSections();
    return std::move(this->findings);
  }

 private:
  void AddNeverMatches(std::string item, std::string detail) {
    this->findings.push_back({.kind = ReviewFindingKind::kNeverMatches,
                              .item = std::move(item),
                              .detail = std::move(detail)});
  }
  void AddContradiction(std::string item, std::string detail) {
    this->findings.push_back({.kind = ReviewFindingKind::kContradiction,
                              .item = std::move(item),
                              .detail = std::move(detail)});
  }

  void ReviewTiming() {
    const TimingSettings& timing = this->settings->timing;
    if (timing.balancer_notice >= timing.drain) {
      this->AddContradiction(
          "timing.balancer_notice_ms",
          "not below drain_ms: no time is left to finish requests");
    }
    const bool agent = !this->settings->agent_link.empty();
    if (agent && timing.worker_hold > timing.agent_lease) {
      this->AddContradiction(
          "timing.worker_hold_ms",
          "above agent_lease_ms, which limits every hold of a worker");
    }
    if (timing.acknowledge >= timing.worker_lease) {
      this->AddContradiction(
          "timing.acknowledge_ms",
          "not below worker_lease_ms: a lease ends before a silent connection "
          "is replaced");
    }
  }

  // A link and an HTTP listener can't share an address.
  void ReviewAddresses() {
    std::map<std::string, std::string> items;  // by address
    const auto add = [&](const std::string& item, const std::string& address) {
      if (address.empty())
        return;
      const auto [found, added] = items.emplace(address, item);
      if (!added) {
        this->AddContradiction(
            item, "has the same address as " + found->second + ", " + address);
      }
    };
    const Settings& all = *this->settings;
    if (all.entry) {
      add("entry.http", all.entry->http);
      add("entry.link", all.entry->link);
    }
    if (all.control) {
      add("control.http", all.control->http);
      add("control.link", all.control->link);
    }
    if (all.endpoint) {
      add("endpoint.http", all.endpoint->address.http);
      add("endpoint.link", all.endpoint->address.link);
    }
    add("gateway.link", all.gateway_link);
    add("agent.link", all.agent_link);
    if (all.platform) {
      add("platform.callers", all.platform->callers);
      add("platform.ready", all.platform->ready);
      add("platform.control", all.platform->control);
    }
    add("metrics.http", all.metrics_http);
  }

  void ReviewUnusedSections() {
    const Settings& all = *this->settings;
    const bool agent = !all.agent_link.empty();
    const SchedulingSettings& scheduling = all.scheduling;
    if (!all.control && (scheduling.admission || scheduling.preemption ||
                         scheduling.worker_speeds)) {
      this->AddNeverMatches("scheduling",
                            "these settings act in the control duty");
    }
    if (!all.control && !agent && scheduling.coupling_estimates) {
      this->AddNeverMatches("scheduling.coupling_estimates",
                            "acts in the control and agent duties");
    }
    if (!all.control && !all.data_folder.empty())
      this->AddNeverMatches("data_folder", "only the control duty uses it");
    if (all.platform && !all.platform->worker.empty() && !agent)
      this->AddNeverMatches("platform.worker", "only the agent duty calls it");
    if (all.platform && !all.platform->callers.empty() &&
        all.gateway_link.empty()) {
      this->AddNeverMatches("platform.callers",
                            "only the gateway duty listens there");
    }
  }

  const Settings* settings;
  std::vector<ReviewFinding> findings;
};

}  // namespace

std::vector<ReviewFinding> ReviewSettings(const Settings& settings) {
  return SettingsReview(settings).Run();
}

}  // namespace savoryring

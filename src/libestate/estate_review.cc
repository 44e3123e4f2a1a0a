#include <map>
#include <set>
#include <utility>

#include "savoryring/review.h"

namespace savoryring {
namespace {

class EstateReview {
 public:
  explicit EstateReview(const Estate& estate) : estate(&estate) {}

  std::vector<ReviewFinding> Run() {
    for (const QueueSpec& queue : this->estate->queues)
      this->ReviewQueue(queue);
    this->ReviewHiddenPrefixes();
    for (const ServiceSpec& service : this->estate->services)
      this->ReviewService(service);
    this->ReviewTeams();
    this->ReviewWeights();
    return std::move(this->findings);
  }

 private:
  void Add(ReviewFindingKind kind, std::string item, std::string detail) {
    this->findings.push_back(
        {.kind = kind, .item = std::move(item), .detail = std::move(detail)});
  }
  void AddNeverMatches(const std::string& item, std::string detail) {
    this->Add(ReviewFindingKind::kNeverMatches, item, std::move(detail));
  }
  void AddContradiction(const std::string& item, std::string detail) {
    this->Add(ReviewFindingKind::kContradiction, item, std::move(detail));
  }

  // A call is matched by its path without the query, and by its host without
  // the port.
  void ReviewQueue(const QueueSpec& queue) {
    const std::string item = "queue " + queue.name;
    if (!queue.prefix.starts_with("/"))
      this->AddNeverMatches(item, "the prefix does not begin with a slash");
    if (queue.prefix.find_first_of("?# ") != std::string::npos)
      this->AddNeverMatches(item, "no path contains '?', '#' or a space");
    if (queue.host.empty() || queue.host.find(':') != std::string::npos)
      this->AddNeverMatches(item, "the host is empty or has a port");
    if (queue.slack <= 0 && queue.latency_target.count() == 0)
      this->AddContradiction(item, "the objective of every job is 0");
    else if (queue.slack < 1 && queue.latency_target.count() == 0)
      this->AddContradiction(
          item,
          "slack below 1 without latency_target_ms: a job can't end "
          "before its critical path");
  }

  // The longest prefix wins, so that the ids which continue as a longer prefix
  // does never reach the queue with the shorter one.
  void ReviewHiddenPrefixes() {
    for (const QueueSpec& queue : this->estate->queues) {
      for (const QueueSpec& other : this->estate->queues) {
        const bool longer = other.prefix.size() > queue.prefix.size() &&
                            other.prefix.starts_with(queue.prefix);
        if (queue.host != other.host || !longer)
          continue;
        this->AddNeverMatches("queue " + queue.name,
                              "paths that begin with " + other.prefix +
                                  " go to queue " + other.name);
      }
    }
  }

  void ReviewService(const ServiceSpec& service) {
    if (service.tail_target > service.timeout) {
      this->AddContradiction(
          "service " + service.name,
          "tail_target_ms is above timeout_ms, after which requests fail");
    }
  }

  void ReviewTeams() {
    std::map<std::string, Resources> monitors;
    std::set<std::string> used;
    for (const WorkSpec& monitor : this->estate->monitors) {
      monitors[monitor.team] += monitor.resources;
      used.insert(monitor.team);
    }
    for (const WorkSpec& work : this->estate->tasks)
      used.insert(work.team);
    for (const WorkSpec& work : this->estate->task_classes)
      used.insert(work.team);
    for (const TeamSpec& team : this->estate->teams) {
      const std::string item = "team " + team.name;
      if (!used.contains(team.name))
        this->AddNeverMatches(item,
                              "no task, class or monitor is of this team");
      if (!monitors[team.name].FitsIn(team.quota)) {
        this->AddContradiction(
            item, "its monitors, which run at the same time, exceed its quota");
      }
    }
  }

  void ReviewWeights() {
    const Weights& weights = this->estate->weights;
    if (weights.tail_latency < 0 || weights.throughput < 0 ||
        weights.evictions < 0)
      this->AddContradiction("weights", "a weight is negative");
    if (weights.tail_latency + weights.throughput + weights.evictions == 0)
      this->AddContradiction("weights", "all weights are 0");
  }

  const Estate* estate;
  std::vector<ReviewFinding> findings;
};

}  // namespace

std::string NameOf(ReviewFindingKind kind) {
  return kind == ReviewFindingKind::kNeverMatches ? "never-matches"
                                                  : "contradiction";
}

std::vector<ReviewFinding> ReviewEstate(const Estate& estate) {
  return EstateReview(estate).Run();
}

}  // namespace savoryring

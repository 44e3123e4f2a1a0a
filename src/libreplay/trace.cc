#include "libreplay/trace.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "savoryring/result.h"

namespace savoryring {
namespace {

class TraceParser {
 public:
  Trace Parse(std::string_view text) {
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
      this->line_number += 1;
      this->ParseLine(line.substr(0, line.find('#')));
    }
    if (this->trace.end.count() == 0)
      this->Report(ResultCode::kMissingKey, "the trace has no end line");
    if (!this->problems.empty())
      throw Error(this->problems);
    std::ranges::stable_sort(this->trace.events, {}, &TraceEvent::at);
    return std::move(this->trace);
  }

 private:
  void Report(ResultCode code, const std::string& detail) {
    this->problems.push_back(
        {.code = code,
         .pointer = "/line/" + std::to_string(this->line_number),
         .detail = detail});
  }

  void ParseLine(const std::string& line) {
    std::istringstream tokens(line);
    std::string keyword;
    if (!(tokens >> keyword))
      return;
    const bool known = this->ParseDeclaration(keyword, tokens) ||
                       (keyword == "at" && this->ParseEvent(tokens));
    if (!known)
      this->Report(ResultCode::kUnknownKey, line);
    else if (tokens.fail() && !tokens.eof())
      this->Report(ResultCode::kWrongType, line);
  }

  Milliseconds ReadMilliseconds(std::istringstream& tokens) {
    std::int64_t count = 0;
    tokens >> count;
    return Milliseconds(count);
  }

  bool ParseDeclaration(const std::string& keyword,
                        std::istringstream& tokens) {
    if (keyword == "weights") {
      Weights& weights = this->trace.weights;
      tokens >> weights.tail_latency >> weights.throughput >> weights.evictions;
    } else if (keyword == "team") {
      TeamSpec& team = this->trace.teams.emplace_back();
      tokens >> team.name >> team.quota.processors >> team.quota.memory_mb;
    } else if (keyword == "worker") {
      TraceWorker& worker = this->trace.workers.emplace_back();
      tokens >> worker.name >> worker.rack >> worker.availability_zone >>
          worker.capacity.processors >> worker.capacity.memory_mb;
    } else if (keyword == "service") {
      TraceService& service = this->trace.services.emplace_back();
      tokens >> service.name;
      service.target = this->ReadMilliseconds(tokens);
      tokens >> service.baseline_ms;
      for (std::string worker; tokens >> worker;)
        service.workers.push_back(worker);
    } else if (keyword == "slowdown") {
      TraceSlowdown& slowdown = this->trace.slowdowns.emplace_back();
      tokens >> slowdown.service >> slowdown.task_class >>
          slowdown.per_processor;
    } else if (keyword == "end") {
      this->trace.end = this->ReadMilliseconds(tokens);
    } else {
      return false;
    }
    return true;
  }

  bool ParseEvent(std::istringstream& tokens) {
    TraceEvent event;
    event.at = this->ReadMilliseconds(tokens);
    std::string keyword;
    tokens >> keyword;
    std::string name;
    if (keyword == "load") {
      LoadChange change;
      tokens >> change.factor;
      event.action = change;
    } else if (keyword == "task") {
      event.action = this->ParseTask(tokens);
    } else if (keyword == "cancel") {
      tokens >> name;
      event.action = TaskCancel{.prefix = name};
    } else if (keyword == "lose") {
      tokens >> name;
      event.action = WorkerLoss{.worker = name};
    } else if (keyword == "back") {
      tokens >> name;
      event.action = WorkerReturn{.worker = name};
    } else if (keyword == "faulty" || keyword == "sound") {
      tokens >> name;
      event.action =
          WorkerFaultChange{.worker = name, .faulty = keyword == "faulty"};
    } else {
      return false;
    }
    this->trace.events.push_back(std::move(event));
    return true;
  }

  TaskArrival ParseTask(std::istringstream& tokens) {
    TaskArrival arrival;
    WorkSpec& spec = arrival.spec;
    tokens >> arrival.name >> spec.team >> spec.command >>
        spec.resources.processors >> spec.resources.memory_mb;
    arrival.run_time = this->ReadMilliseconds(tokens);
    arrival.used_processors = spec.resources.processors;
    spec.name = arrival.name;
    for (std::string token; tokens >> token;) {
      if (token == "urgent")
        spec.urgent = true;
      else if (token == "once")
        spec.repeatable = false;
      else if (token.starts_with("uses="))
        arrival.used_processors = std::stod(token.substr(5));
      else
        this->Report(ResultCode::kUnknownKey, token);
    }
    return arrival;
  }

  Trace trace;
  std::size_t line_number = 0;
  std::vector<Problem> problems;
};

}  // namespace

Trace ParseTrace(std::string_view text) {
  return TraceParser().Parse(text);
}

}  // namespace savoryring

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
    std::istringstream words(line);
    std::string kind;
    if (!(words >> kind))
      return;
    const bool known = this->ParseSetup(kind, words) ||
                       (kind == "at" && this->ParseEvent(words));
    if (!known)
      this->Report(ResultCode::kUnknownKey, line);
    else if (words.fail() && !words.eof())
      this->Report(ResultCode::kWrongType, line);
  }

  Milliseconds TakeTime(std::istringstream& words) {
    std::int64_t count = 0;
    words >> count;
    return Milliseconds(count);
  }

  bool ParseSetup(const std::string& kind, std::istringstream& words) {
    if (kind == "weights") {
      Weights& weights = this->trace.weights;
      words >> weights.tail_latency >> weights.throughput >> weights.evictions;
    } else if (kind == "team") {
      TeamSpec& team = this->trace.teams.emplace_back();
      words >> team.name >> team.quota.processors >> team.quota.memory_mb;
    } else if (kind == "worker") {
      TraceWorker& worker = this->trace.workers.emplace_back();
      words >> worker.name >> worker.rack >> worker.availability_zone >>
          worker.capacity.processors >> worker.capacity.memory_mb;
    } else if (kind == "service") {
      TraceService& service = this->trace.services.emplace_back();
      words >> service.name;
      service.target = this->TakeTime(words);
      words >> service.alone_ms;
      for (std::string worker; words >> worker;)
        service.workers.push_back(worker);
    } else if (kind == "slowdown") {
      TraceSlowdown& slowdown = this->trace.slowdowns.emplace_back();
      words >> slowdown.service >> slowdown.task_class >>
          slowdown.per_processor;
    } else if (kind == "end") {
      this->trace.end = this->TakeTime(words);
    } else {
      return false;
    }
    return true;
  }

  bool ParseEvent(std::istringstream& words) {
    TraceEvent event;
    event.at = this->TakeTime(words);
    std::string kind;
    words >> kind;
    std::string name;
    if (kind == "load") {
      LoadChange change;
      words >> change.factor;
      event.action = change;
    } else if (kind == "task") {
      event.action = this->ParseTask(words);
    } else if (kind == "cancel") {
      words >> name;
      event.action = TaskCancel{.prefix = name};
    } else if (kind == "lose") {
      words >> name;
      event.action = WorkerLoss{.worker = name};
    } else if (kind == "back") {
      words >> name;
      event.action = WorkerReturn{.worker = name};
    } else if (kind == "faulty" || kind == "sound") {
      words >> name;
      event.action = WorkerFaulty{.worker = name, .faulty = kind == "faulty"};
    } else {
      return false;
    }
    this->trace.events.push_back(std::move(event));
    return true;
  }

  TaskArrival ParseTask(std::istringstream& words) {
    TaskArrival arrival;
    WorkSpec& spec = arrival.spec;
    words >> arrival.name >> spec.team >> spec.command >>
        spec.resources.processors >> spec.resources.memory_mb;
    arrival.run = this->TakeTime(words);
    arrival.used_processors = spec.resources.processors;
    spec.name = arrival.name;
    for (std::string word; words >> word;) {
      if (word == "urgent")
        spec.urgent = true;
      else if (word == "once")
        spec.repeatable = false;
      else if (word.starts_with("uses="))
        arrival.used_processors = std::stod(word.substr(5));
      else
        this->Report(ResultCode::kUnknownKey, word);
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

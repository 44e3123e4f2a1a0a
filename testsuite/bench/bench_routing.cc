// Measures the routing cores in virtual time at the size of today: 11
// instances of 8 slots in three zones, three entries, the given one-way delays.
// Compares with random routing without a budget and with parts switched off.

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "librouting/admission.h"
#include "librouting/router.h"
#include "testsuite/schedule/virtual_world.h"

namespace savoryring {
namespace {

constexpr int kInstances = 11;
constexpr std::uint32_t kSlots = 8;
constexpr int kZones = 3;
constexpr Milliseconds kTimeout{500};
constexpr double kMeanRunMs = 20;
constexpr Milliseconds kLength{20'000};
constexpr std::chrono::microseconds kNear{200};
constexpr std::chrono::microseconds kFar{1500};
const std::string kService = "gauge-check";

struct Scenario {
  std::string name;
  double load = 0.7;       // share of the capacity of all slots
  double slow_factor = 1;  // run time on the first instance
  bool silent = false;     // the second instance drops everything
};

struct Policy {
  std::string name;
  RouterOptions options;
};

struct Outcome {
  std::vector<double> latencies_ms;
  std::uint64_t sent = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t runs = 0;
};

class RoutingModel {
 public:
  RoutingModel(const Scenario& scenario, const Policy& policy)
      : scenario(scenario), world(7) {
    for (int i = 0; i < kInstances; ++i) {
      this->admissions.push_back(
          std::make_unique<Admission>(AdmissionOptions{.incarnation = 1}));
    }
    Estate estate;
    estate.services.push_back({.name = kService, .timeout = kTimeout});
    for (int zone = 0; zone < kZones; ++zone) {
      RouterOptions options = policy.options;
      options.entry = "entry-" + std::to_string(zone);
      options.incarnation = 1;
      options.availability_zone = std::to_string(zone);
      options.seed = static_cast<std::uint64_t>(zone) + 1;
      this->routers.push_back(std::make_unique<Router>(options));
      this->routers.back()->OnEstate(estate);
    }
  }

  Outcome Run() {
    this->Announce();
    this->Tick();
    this->Arrive();
    this->world.RunUntil(this->world.now() + kLength);
    this->stopped = true;
    this->world.RunUntil(this->world.now() + 2 * kTimeout);
    for (const auto& router : this->routers)
      this->outcome.retries += router->retries() + router->hedges();
    return std::move(this->outcome);
  }

 private:
  std::chrono::microseconds Delay(int entry, int instance) const {
    return entry == instance % kZones ? kNear : kFar;
  }

  void Announce() {
    const TimePoint now = this->world.now();
    for (int i = 0; i < kInstances; ++i) {
      Admission& admission = *this->admissions[static_cast<std::size_t>(i)];
      admission.OnLocalEndpoint({.service = kService,
                                 .slots = kSlots,
                                 .valid_until = now + Milliseconds(5000)},
                                now);
      wire::EndpointAnnouncement message;
      message.set_link(std::to_string(i));
      message.set_availability_zone(std::to_string(i % kZones));
      message.set_sequence(++this->sequence);
      message.set_valid_ms(2000);
      const auto services = admission.Services(now);
      wire::ServiceAnnouncement* item = message.add_services();
      item->set_service(kService);
      item->set_slots(kSlots);
      item->set_running(services[0].running);
      item->set_queued(services[0].queued);
      item->set_serving(true);
      for (const auto& router : this->routers)
        router->OnAnnouncement(std::to_string(i), 1, message, now);
    }
    this->world.RunAfter(Milliseconds(500), [this] { this->Announce(); });
  }

  void Tick() {
    for (std::size_t i = 0; i < this->routers.size(); ++i) {
      this->routers[i]->OnTick(this->world.now());
      this->RunRouter(static_cast<int>(i));
    }
    for (std::size_t i = 0; i < this->admissions.size(); ++i) {
      this->admissions[i]->OnTick(this->world.now());
      this->RunAdmission(static_cast<int>(i));
    }
    this->world.RunAfter(Milliseconds(10), [this] { this->Tick(); });
  }

  // Requests come at random times with a fixed mean rate.
  void Arrive() {
    if (this->stopped)
      return;
    const double per_ms =
        this->scenario.load * kInstances * kSlots / kMeanRunMs;
    const auto gap = std::chrono::nanoseconds(
        this->world.Random(static_cast<std::uint64_t>(2e6 / per_ms)));
    this->world.RunAfter(gap, [this] {
      const int entry = static_cast<int>(this->world.Random(kZones));
      const std::uint64_t id = this->next_request++;
      const TimePoint now = this->world.now();
      this->begins[id] = now;
      this->outcome.sent += 1;
      this->routers[static_cast<std::size_t>(entry)]->OnRequest(
          {.id = id,
           .service = kService,
           .deadline = now + kTimeout,
           .repeatable = true},
          now);
      this->RunRouter(entry);
      this->Arrive();
    });
  }

  void RunRouter(int entry) {
    Router& router = *this->routers[static_cast<std::size_t>(entry)];
    for (const RouterEffect& effect : router.TakeEffects()) {
      if (const auto* send = std::get_if<SendAttempt>(&effect)) {
        const int instance = std::stoi(send->link);
        this->origin[send->key] = entry;
        this->ToInstance(entry, instance, [this, instance, copy = *send] {
          this->admissions[static_cast<std::size_t>(instance)]->OnAttempt(
              {.key = copy.key,
               .oldest_open = copy.oldest_open,
               .endpoint_incarnation = 1,
               .service = kService,
               .deadline = copy.deadline},
              this->world.now());
          this->RunAdmission(instance);
        });
      } else if (const auto* bar = std::get_if<SendRevocation>(&effect)) {
        const int instance = std::stoi(bar->link);
        this->ToInstance(entry, instance, [this, instance, copy = *bar] {
          this->admissions[static_cast<std::size_t>(instance)]->OnRevocation(
              copy.key, 1, this->world.now());
          this->RunAdmission(instance);
        });
      } else if (const auto* pass = std::get_if<ForwardAnswer>(&effect)) {
        const auto latency = this->world.now() - this->begins[pass->request];
        this->outcome.latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(latency).count());
      } else if (const auto* result = std::get_if<AnswerWithCode>(&effect)) {
        (InfoOf(result->code).not_run ? this->outcome.not_run
                                      : this->outcome.unknown) += 1;
      }
    }
  }

  void ToInstance(int entry, int instance, std::function<void()> deliver) {
    if (this->scenario.silent && instance == 1)
      return;
    this->world.RunAfter(this->Delay(entry, instance), std::move(deliver));
  }

  void RunAdmission(int instance) {
    Admission& admission =
        *this->admissions[static_cast<std::size_t>(instance)];
    for (const AdmissionEffect& effect : admission.TakeEffects()) {
      if (const auto* run = std::get_if<RunAttempt>(&effect)) {
        this->outcome.runs += 1;
        // Mostly short, now and then long: the mean is kMeanRunMs.
        double run_ms = this->world.Chance(0.03) ? 180 : 15;
        if (instance == 0)
          run_ms *= this->scenario.slow_factor;
        this->world.RunAfter(
            std::chrono::microseconds(static_cast<std::int64_t>(run_ms * 1000)),
            [this, instance, key = run->key] {
              this->admissions[static_cast<std::size_t>(instance)]->OnRunEnded(
                  key, true, this->world.now());
              this->RunAdmission(instance);
            });
      } else if (const auto* tell = std::get_if<ReportAttempt>(&effect)) {
        const int entry = this->origin[tell->key];
        this->world.RunAfter(
            this->Delay(entry, instance),
            [this, entry,
             news = AttemptStatus{
                 .key = tell->key, .state = tell->state, .code = tell->code}] {
              this->routers[static_cast<std::size_t>(entry)]->OnAttemptStatus(
                  news, this->world.now());
              this->RunRouter(entry);
            });
      }
    }
  }

  Scenario scenario;
  Simulation world;
  std::vector<std::unique_ptr<Admission>> admissions;
  std::vector<std::unique_ptr<Router>> routers;
  std::map<AttemptKey, int> origin;
  std::map<std::uint64_t, TimePoint> begins;
  std::uint64_t next_request = 1;
  std::uint64_t sequence = 0;
  bool stopped = false;
  Outcome outcome;
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

void Print(const Policy& policy, const Outcome& outcome) {
  const double seconds = std::chrono::duration<double>(kLength).count();
  std::cout << "  " << std::left << std::setw(24) << policy.name << std::right
            << std::setw(9)
            << static_cast<double>(outcome.latencies_ms.size()) / seconds
            << std::setw(9) << Quantile(outcome.latencies_ms, 0.5)
            << std::setw(9) << Quantile(outcome.latencies_ms, 0.99)
            << std::setw(9)
            << 100.0 * static_cast<double>(outcome.not_run) /
                   static_cast<double>(outcome.sent)
            << std::setw(9)
            << 100.0 * static_cast<double>(outcome.unknown) /
                   static_cast<double>(outcome.sent)
            << std::setw(9)
            << static_cast<double>(outcome.runs) /
                   static_cast<double>(outcome.sent)
            << '\n';
}

}  // namespace
}  // namespace savoryring

int main() {
  using savoryring::Policy;
  using savoryring::Scenario;
  const std::vector<Scenario> scenarios{
      {.name = "70% of capacity", .load = 0.7},
      {.name = "100% of capacity", .load = 1.0},
      {.name = "200% of capacity", .load = 2.0},
      {.name = "60%, one instance five times slower",
       .load = 0.6,
       .slow_factor = 5},
      {.name = "60%, one instance silent", .load = 0.6, .silent = true}};
  const std::vector<Policy> policies{
      {.name = "savoryring", .options = {}},
      {.name = "random, no budget",
       .options = {.use_hedges = false,
                   .use_retry_budget = false,
                   .use_random_choice = true}},
      {.name = "without hedges", .options = {.use_hedges = false}},
      {.name = "without retry budget", .options = {.use_retry_budget = false}}};
  std::cout << std::fixed << std::setprecision(2);
  std::cout << "routing in virtual time: 11 instances of 8 slots, capacity "
            << "4400/s, timeout 500 ms\n";
  for (const Scenario& scenario : scenarios) {
    std::cout << scenario.name
              << "\n  policy                   good/s   p50 ms   p99 ms"
                 "  notrun%  unknwn%  runs/rq\n";
    for (const Policy& policy : policies) {
      savoryring::Print(policy,
                        savoryring::RoutingModel(scenario, policy).Run());
    }
  }
  return 0;
}

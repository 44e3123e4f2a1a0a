// Stand-in for an endpoint: serves HTTP with a configured latency, announces
// itself to the endpoint process, and records each executed request as a line
// of a file.

#include <gflags/gflags.h>
#include <signal.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "libbase/command_line.h"
#include "libtransport/http.h"

DEFINE_string(listen, "127.0.0.1:9100", "address to serve on");
DEFINE_string(announce, "http://127.0.0.1:8082", "URL of the endpoint process");
DEFINE_string(service, "gauge-check", "name of the announced service");
DEFINE_uint32(slots, 8, "announced number of slots");
DEFINE_uint32(latency_ms, 2, "execution time of each request");
DEFINE_string(record, "", "file to record executed requests in");

namespace savoryring {
namespace {

constexpr Milliseconds kAnnounceInterval{500};

class Endpoint {
 public:
  HttpResponse Serve(const HttpRequest& request) {
    std::this_thread::sleep_for(Milliseconds(FLAGS_latency_ms));
    const std::lock_guard lock(this->record_mutex);
    if (!FLAGS_record.empty()) {
      std::ofstream(FLAGS_record, std::ios::app)
          << request.method << ' ' << request.path << ' '
          << request.Header("Savoryring-Attempt") << ' ' << request.body
          << std::endl;
    }
    HttpResponse response;
    response.headers.push_back({.name = "Content-Type", .value = "text/plain"});
    response.headers.push_back({.name = "Endpoint-Saw-Traceparent",
                                .value = request.Header("traceparent")});
    response.body = "ran " + request.path + " " + request.body;
    return response;
  }

 private:
  std::mutex record_mutex;
};

void Announce(const std::string& state) {
  const nlohmann::json body{{"service", FLAGS_service},
                            {"url", "http://" + FLAGS_listen},
                            {"slots", FLAGS_slots},
                            {"connections", 64},
                            {"state", state}};
  HttpRequest request{.method = "PUT", .path = "/endpoint"};
  request.body = body.dump();
  try {
    SendHttp(FLAGS_announce, request, Milliseconds(1000));
  } catch (const Error&) {
    // The endpoint process may not be up yet; the next announcement retries.
  }
}

void Run() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Endpoint endpoint;
  HttpServer server(
      {.address = FLAGS_listen, .body_limit_bytes = 64U << 20U},
      [&](const HttpRequest& request) { return endpoint.Serve(request); });
  std::jthread announcer([](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      Announce("serving");
      std::this_thread::sleep_for(kAnnounceInterval);
    }
  });
  int received = 0;
  sigwait(&signals, &received);
  announcer.request_stop();
  announcer.join();
  Announce("leaving");
}

}  // namespace
}  // namespace savoryring

int main(int argc, char** argv) {
  try {
    savoryring::ReadFlags({argv + 1, argv + argc});
    savoryring::Run();
    return 0;
  } catch (const savoryring::Error& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}

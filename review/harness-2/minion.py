"""Stand-in for one minion of the platform: one process is one life of it.

Serves /run-start, /run-stop, /hold and /pace and sends heartbeats to the agent
on its machine, as PROTOCOL.md describes. SIGUSR1 makes it fail every run that
it starts from then on, SIGUSR2 makes it sound again, SIGTERM ends it.

The text of a job tells what its tasks do: "work_ms=N" is the duration of one
task, "fails=N" makes the first N runs of each task fail at their end.
"""
import argparse
import http.client
import json
import os
import signal
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_HOLD_MS = 10_000
STOP_MS = 50
STARTUP_MS = 300
HEARTBEAT_S = 1.1


def words(spec):
    found = {}
    for word in spec.split():
        key, _, value = word.partition("=")
        if value.lstrip("-").isdigit():
            found[key] = int(value)
    return found


class Minion:
    def __init__(self, options):
        self.options = options
        self.started = time.monotonic()
        self.born = int(time.time() * 1000) + options.clock_offset_ms
        self.changed = threading.Condition()
        self.fence = 0
        self.hold_until = 0
        self.running = {}
        self.ends = []
        self.last_end = 0
        self.highest_ended = {}
        self.grey = False
        self.draining = False
        self.sequence = 0

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, *fields):
        line = " ".join(str(field) for field in
                        ("%.3f" % time.time(), self.options.name, self.born) + fields)
        with open(self.options.record, "a") as record:
            record.write(line + "\n")

    # Called with the lock held.
    def extend(self, deadline_ms):
        limit = min(deadline_ms, self.now_ms() + MAX_HOLD_MS)
        self.hold_until = max(self.hold_until, limit)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run["run"])
        self.note("end", task, run["run"], how)
        self.changed.notify_all()

    def start_run(self, body):
        task, run = body["task"], body["run"]
        with self.changed:
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencing_token", 0)
            if body["deadline_ms"] <= self.now_ms():
                return 409, {"reason": "late"}
            self.extend(body["deadline_ms"])
            here = self.running.get(task)
            if here and here["run"] == run:
                return 200, {}
            if here or run <= self.highest_ended.get(task, 0):
                return 409, {"reason": "old"}
            what = words(body["spec"])
            lasts = what.get("lasts", 0) == 1
            fails = self.grey or run <= what.get("fails", 0)
            self.running[task] = {
                "run": run, "begun": self.now_ms(), "lasts": lasts,
                "fails": fails, "stop_at": None,
                "work_ms": STARTUP_MS if lasts else what.get("work_ms", 500)}
            self.note("start", task, run, "fails" if fails else "")
            return 200, {}

    def stop_run(self, body):
        task, run = body["task"], body["run"]
        with self.changed:
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencing_token", 0)
            here = self.running.get(task)
            if here and here["run"] <= run:
                here["stop_at"] = self.now_ms() + STOP_MS
            elif not here:
                self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
            return 200, {}

    def hold(self, body):
        with self.changed:
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencing_token", 0)
            if "deadline_ms" in body:
                self.extend(body["deadline_ms"])
            acknowledged = body.get("ack_seq", 0)
            for end in self.ends:
                if end[0] <= acknowledged:
                    self.note("noted", end[1], end[2], end[3])
            self.ends = [end for end in self.ends if end[0] > acknowledged]
            wait_until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
            while not self.ends and time.monotonic() < wait_until:
                self.changed.wait(wait_until - time.monotonic())
            return 200, {"running": self.rows(), "finished": self.ends[:500],
                         "born": self.born}

    def rows(self):
        rows = []
        for task, run in self.running.items():
            done = (self.now_ms() - run["begun"]) * 100 // max(1, run["work_ms"])
            percent = min(100 if run["lasts"] else 99, done)
            rows.append([task, run["run"], "", percent, 0])
        return rows

    def pace(self, body):
        with self.changed:
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"reason": "fence"}
            return 200, {}

    def advance(self):
        with self.changed:
            now = self.now_ms()
            for task, run in list(self.running.items()):
                over = now - run["begun"] >= run["work_ms"]
                if now > self.hold_until:
                    self.end(task, "lapsed")
                elif run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif over and run["fails"]:
                    self.end(task, "failed")
                elif over and not run["lasts"]:
                    self.end(task, "done")

    def heartbeat(self):
        self.sequence += 1
        body = {"service": self.options.service, "address": self.options.listen,
                "zone": self.options.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.options.cpu, "mem_mb": 64000, "gpus": 0},
                "labels": self.options.labels.split(","), "born": self.born,
                "current_time_ms": self.now_ms(), "sequence": self.sequence}
        host, port = self.options.agent.split(":")
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            connection.request("PUT", "/instances/" + self.options.id, json.dumps(body),
                               {"Content-Type": "application/json"})
            connection.getresponse().read()
            connection.close()
        except OSError:
            pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def do_POST(self):
        minion = self.server.minion
        text = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Savoryring-Expect-Instance")
        calls = {"/run-start": minion.start_run, "/run-stop": minion.stop_run,
                 "/hold": minion.hold, "/pace": minion.pace}
        if expected is not None and expected != minion.options.id:
            status, body = 421, {}
        elif self.path not in calls:
            status, body = 404, {}
        else:
            try:
                status, body = calls[self.path](json.loads(text))
            except (ValueError, KeyError):
                status, body = 400, {}
        body["current_time_ms"] = minion.now_ms()
        answer = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def log_message(self, *_):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64


def main():
    parser = argparse.ArgumentParser()
    for name in ("listen", "agent", "id", "name", "service", "zone", "record"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--labels", default="a")
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--clock-offset-ms", type=int, default=0)
    options = parser.parse_args()
    minion = Minion(options)
    host, port = options.listen.split(":")
    server = Server((host, int(port)), Handler)
    server.minion = minion
    minion.note("life begins")

    def on_signal(number, _):
        minion.grey = number == signal.SIGUSR1
    signal.signal(signal.SIGUSR1, on_signal)
    signal.signal(signal.SIGUSR2, on_signal)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()

    def beat():
        while True:
            minion.heartbeat()
            time.sleep(HEARTBEAT_S)
    threading.Thread(target=beat, daemon=True).start()
    while True:
        minion.advance()
        time.sleep(0.01)


if __name__ == "__main__":
    main()

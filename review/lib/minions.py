"""Stand-in for the platform's minions, by the page PROTOCOL.md.

A minion serves /run-start, /run-stop, /hold and /pace for the agent on its
machine and sends heartbeats to it. What a task does stands in its `spec`:
work_ms=N, lasts=1, gang=N (tasks that work only together), saves=1 (it saves
its progress at each checkpoint_s of work and at a stop), fails=N (the first N
runs fail).
"""

import http.client
import http.server
import json
import socket
import threading
import time

STOP_S = 0.1
TICK_S = 0.01


def behaviour(spec):
    words = dict(word.split("=") for word in spec.split() if "=" in word)
    return {name: int(words.get(name, default)) for name, default in
            (("work_ms", 500), ("lasts", 0), ("gang", 0), ("saves", 0),
             ("fails", 0))}


class Run:
    def __init__(self, task, run, body, now):
        self.task, self.run, self.begin = task, run, now
        self.spec = body.get("spec", "")
        self.checkpoint = body.get("checkpoint", "")
        self.behaviour = behaviour(self.spec)
        self.gang_key = (task.rsplit(".", 1)[0], run)
        self.together_at = None if self.behaviour["gang"] else now
        self.stop_at = None
        # Progress from which a saved value lets the run go on.
        self.resumed_ms = int(self.checkpoint, 16) if self.checkpoint else 0

    def done_ms(self):
        """Work done, with what earlier runs have saved."""
        if self.together_at is None:
            return self.resumed_ms
        return self.resumed_ms + (time.monotonic() - self.together_at) * 1000

    def saved(self, checkpoint_ms, at_stop=False):
        if not self.behaviour["saves"]:
            return ""
        done = int(self.done_ms())
        if not at_stop:
            done = max(self.resumed_ms, done - done % checkpoint_ms)
        return "%016x" % done if done else ""


class Platform:
    """All minions of the deployment; gangs span several of them."""

    def __init__(self, fleet, record, bounds):
        self.fleet, self.record, self.bounds = fleet, record, bounds
        self.lock = threading.RLock()
        self.minions = {}
        self.stopping = False
        self.history = []  # (seconds, event, minion, task, run)
        self.gang_checkpoints = {}  # (step, run): checkpoint by task
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def note(self, event, minion, task, run, extra=""):
        self.history.append((self.record.now(), event, minion.name, task, run))
        self.record.write("minion", minion.name, event, task, "run", run, extra)

    def add(self, machine, **options):
        minion = Minion(self, machine, **options)
        with self.lock:
            self.minions[machine] = minion
        return minion

    def run(self):
        while not self.stopping:
            with self.lock:
                for minion in list(self.minions.values()):
                    if minion.alive:
                        minion.advance()
                self.assemble_gangs()
            time.sleep(TICK_S)

    def assemble_gangs(self):
        present = {}
        for minion in self.minions.values():
            for run in minion.running.values():
                if run.behaviour["gang"] and minion.alive:
                    present.setdefault(run.gang_key, []).append(run)
        for members in present.values():
            complete = len(members) == members[0].behaviour["gang"]
            if complete and members[0].together_at is None:
                for run in members:
                    run.together_at = time.monotonic()

    def break_gang(self, ended):
        for minion in self.minions.values():
            for run in list(minion.running.values()):
                if (run.behaviour["gang"] and run.gang_key == ended.gang_key and
                        run.together_at is not None):
                    minion.end(run, "broken")

    def stop(self):
        self.stopping = True
        self.thread.join()
        for minion in list(self.minions.values()):
            minion.crash()


class Minion:
    def __init__(self, platform, machine, instance, service, zone="telavi",
                 labels=("a",), cpu=16000, mem_mb=64000, born_ms=None,
                 heartbeat_s=1.1):
        self.platform, self.machine, self.name = platform, machine, instance
        self.service, self.zone, self.labels = service, zone, list(labels)
        self.cpu, self.mem_mb = cpu, mem_mb
        self.heartbeat_s = heartbeat_s
        self.begin = time.monotonic()
        self.born = int(time.time() * 1000) if born_ms is None else born_ms
        self.alive, self.draining = True, False
        self.sequence, self.fence, self.hold_end = 0, 0, None
        self.running, self.highest, self.ends = {}, {}, []
        self.last_end, self.acknowledged = 0, 0
        self.sockets = set()
        self.beat_lock = threading.Lock()
        self.serve()
        self.wake = threading.Event()
        threading.Thread(target=self.beat, daemon=True).start()

    # --- Time ---

    def clock_ms(self):
        return int((time.monotonic() - self.begin) * 1000) + 1000

    # --- HTTP ---

    def serve(self):
        minion = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                minion.sockets.add(self.connection)

            def finish(self):
                minion.sockets.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, *_):
                pass

            def do_POST(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length) or b"{}")
                expected = self.headers.get("X-Savoryring-Expect-Instance")
                if expected and expected != minion.name:
                    status, answer = 421, {}
                else:
                    status, answer = minion.handle(self.path, body)
                if not minion.alive:
                    self.close_connection = True
                    return
                answer["current_time_ms"] = minion.clock_ms()
                answer["born"] = minion.born
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

        fleet = self.platform.fleet
        self.server = Server((fleet.ip(self.machine), fleet.ports["app"]),
                             Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,),
                         daemon=True).start()

    def handle(self, path, body):
        if path == "/hold":
            return self.hold(body)
        with self.platform.lock:
            if not self.alive:
                return 503, {}  # not sent: the connections are closed
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencing_token", 0)
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                return self.stop_run(body)
            if path == "/pace":
                return 200, {}
        return 404, {}

    def extend(self, deadline_ms):
        limit = self.clock_ms() + self.platform.bounds["max_hold_ms"]
        self.hold_end = max(self.hold_end or 0, min(deadline_ms, limit))

    def start(self, body):
        task, run = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["deadline_ms"])
        known = self.running.get(task)
        if known and known.run == run:
            return 200, {}
        if run <= self.highest.get(task, 0) or (known and run < known.run):
            return 409, {"reason": "old"}
        if known:
            return 409, {"reason": "room"}
        started = Run(task, run, body, time.monotonic())
        self.running[task] = started
        if started.behaviour["gang"]:
            self.platform.gang_checkpoints.setdefault(
                started.gang_key, {})[task] = body.get("checkpoint") or "none"
        self.platform.note("begins", self, task, run,
                           "checkpoint=" + (body.get("checkpoint") or "-"))
        return 200, {}

    def stop_run(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        known = self.running.get(task)
        if known and known.run <= run and known.stop_at is None:
            known.stop_at = time.monotonic() + STOP_S
        return 200, {}

    def hold(self, body):
        end = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while True:
            with self.platform.lock:
                if body.get("fencing_token", 0) < self.fence:
                    return 409, {"reason": "fence"}
                self.fence = body.get("fencing_token", 0)
                if "deadline_ms" in body:
                    self.extend(body["deadline_ms"])
                acknowledged = body.get("ack_seq", 0)
                if acknowledged > self.acknowledged:
                    self.acknowledged = acknowledged
                    self.ends = [e for e in self.ends if e[0] > acknowledged]
                if self.ends or time.monotonic() >= end or not self.alive:
                    running = [[r.task, r.run, r.saved(self.checkpoint_ms()),
                                self.percent(r), 1]
                               for r in self.running.values()]
                    return 200, {"running": running,
                                 "finished": self.ends[:500]}
            time.sleep(TICK_S)

    # --- Running ---

    def percent(self, run):
        if run.together_at is None:
            return 0
        if run.behaviour["lasts"]:
            return 100
        return min(99, int(run.done_ms() * 100 /
                           max(1, run.behaviour["work_ms"])))

    def checkpoint_ms(self):
        return int(self.platform.bounds["checkpoint_s"] * 1000)

    def end(self, run, how):
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.last_end += 1
        saved = run.saved(self.checkpoint_ms(), how == "stopped")
        self.ends.append([self.last_end, run.task, run.run, how,
                          "" if how == "done" else saved])
        self.platform.note(how, self, run.task, run.run)

    def advance(self):
        now = time.monotonic()
        lapsed = self.hold_end is not None and self.clock_ms() >= self.hold_end
        for run in list(self.running.values()):
            if run.task not in self.running:
                continue
            how = None
            if lapsed:
                how = "lapsed"
            elif run.stop_at is not None and now >= run.stop_at:
                how = "stopped"
            elif run.together_at is None:
                waited_ms = (now - run.begin) * 1000
                if waited_ms > self.platform.bounds["gang_timeout_ms"]:
                    how = "alone"
            elif (not run.behaviour["lasts"] and
                  run.done_ms() >= run.behaviour["work_ms"]):
                how = "failed" if run.run <= run.behaviour["fails"] else "done"
            if how is None:
                continue
            self.end(run, how)
            if run.behaviour["gang"] and how not in ("done", "alone"):
                self.platform.break_gang(run)

    # --- Heartbeats ---

    def announcement(self, **changes):
        self.sequence += 1
        body = {
            "service": self.service, "zone": self.zone, "version": "v1",
            "address": "%s:%d" % (self.platform.fleet.ip(self.machine),
                                  self.platform.fleet.ports["app"]),
            "slots": 8, "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
            "labels": self.labels, "born": self.born,
            "current_time_ms": self.clock_ms(), "sequence": self.sequence}
        if self.draining:
            body["remaining_ms"] = self.platform.bounds["drain_ms"]
        body.update(changes)
        return body

    def send_heartbeat(self, method="PUT"):
        with self.beat_lock:
            fleet = self.platform.fleet
            body = self.announcement() if method == "PUT" else None
            return fleet.call(self.machine, "control", method,
                              "/instances/" + self.name, body, timeout=1.0)[0]

    def beat(self):
        while self.alive:
            self.send_heartbeat()
            self.wake.wait(self.heartbeat_s)
            self.wake.clear()

    def drain(self):
        """Says that it leaves; returns whether that was acknowledged."""
        self.draining = True
        self.platform.record.write("minion", self.name, "drains")
        return self.send_heartbeat() == 200

    def leave(self):
        status = self.send_heartbeat("DELETE")
        self.platform.record.write("minion", self.name, "leaves ->", status)
        self.crash()

    def crash(self):
        """The process is gone: nothing listens and all connections are closed."""
        with self.platform.lock:
            if not self.alive:
                return
            self.alive = False
            gone = list(self.running.values())
            self.running.clear()
            for run in gone:
                self.platform.note("gone", self, run.task, run.run)
                if run.behaviour["gang"] and run.together_at is not None:
                    self.platform.break_gang(run)
        self.wake.set()
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.platform.record.write("minion", self.name, "is gone")

"""Starts a small deployment on loopback addresses, as the deploy file says.

Every machine has a loopback address of its own. Settings are filled into the
templates of the deploy file; the programs are those that it names. Minions are
stand-ins, see minion.py.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ZONES = ("telavi", "gurjaani", "sighnaghi")
PORTS = {"frontend": 8161, "control": 8166, "readiness": 8167, "app": 8180}
INTERNAL = (7720, 7735)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


def look_up(name, values):
    for part in name.split("."):
        if isinstance(values, list):
            values = values[int(part)]
        else:
            values = values.get(part) if isinstance(values, dict) else None
        if values is None:
            return None
    return values


def fill(template, values):
    """Fills in the placeholders and sections that our templates use."""
    def section(match):
        value = look_up(match[2], values)
        shown = bool(value) == (match[1] == "#")
        return match[3].replace("{{.}}", str(value)) if shown else ""

    def place(match):
        name, _, form = match[1].partition("|")
        value = look_up(name, values)
        return json.dumps(value) if form == "json" else "" if value is None else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+(?:\|json)?)\}\}", place, text)


class Keeper:
    """Tells keeper.py which processes run."""

    def __init__(self):
        self.lock = threading.Lock()
        self.child = subprocess.Popen([sys.executable, "-B", os.path.join(HERE, "keeper.py")],
                                      stdin=subprocess.PIPE, text=True, start_new_session=True)

    def tell(self, line):
        with self.lock:
            self.child.stdin.write(line + "\n")
            self.child.stdin.flush()

    def end(self):
        self.child.stdin.close()
        self.child.wait()


class Process:
    keeper = None

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.child = None

    def start(self):
        if Process.keeper is None:
            Process.keeper = Keeper()
        if self.child is not None:
            if self.child.poll() is None:
                raise CouldNotRun(self.name + " runs already")
            Process.keeper.tell(f"-{self.child.pid}")
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=log, cwd=ROOT)
        Process.keeper.tell(f"+{self.child.pid}")

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()
            Process.keeper.tell(f"-{self.child.pid}")

    def alive(self):
        return self.child is not None and self.child.poll() is None


class Fleet:
    def __init__(self, case_folder, minions, labels=lambda number: ["a"], cores=16):
        self.begin = time.time()
        self.over = False
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_path = os.path.join(case_folder, "record.txt")
        self.runs_path = os.path.join(self.folder, "runs")
        open(self.runs_path, "w").close()
        self.record_lock = threading.Lock()
        self.lines = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.processes = {}
        self.host, self.prefix, self.service = "desk.example", "/temper/", "hoop-desk"
        self.base = self.free_network(3 + minions)
        self.seeds = [f"{self.ip(n)}:{PORTS['control']}" for n in (1, 2, 3)]
        for number in (1, 2, 3):
            self.add_frontend(number)
        self.minion_numbers = range(1, minions + 1)
        self.lives = {number: 0 for number in self.minion_numbers}
        self.cores = cores
        self.labels = labels
        for number in self.minion_numbers:
            self.add_agent(number)

    # --- Addresses ---

    def free_network(self, machines):
        for _ in range(50):
            base = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}."
            try:
                for number in range(1, machines + 1):
                    for port in (*PORTS.values(), INTERNAL[0], INTERNAL[0] + 1, 9101, 9102, 9103):
                        with socket.socket() as probe:
                            probe.bind((base + str(number), port))
                return base
            except OSError:
                continue
        raise CouldNotRun("no free ports on loopback addresses")

    def ip(self, number):
        return self.base + str(number)

    def minion_ip(self, number):
        return self.ip(3 + number)

    # --- Processes ---

    def add_daemon(self, role, ip, node, zone, extra):
        with open(os.path.join(ROOT, self.roles[role]["template"])) as file:
            template = file.read()
        values = {"node_name": node, "zone": zone, "ip": ip, "seeds": self.seeds,
                  "bootstrap": True, "internal_port_range": list(INTERNAL),
                  "bind_addresses": {key: f"{ip}:{PORTS[key]}"
                                     for key in ("frontend", "control", "readiness")}}
        values.update(extra)
        name = f"{role}-{node}"
        settings = os.path.join(self.folder, name + ".json")
        with open(settings, "w") as file:
            file.write(fill(template, values))
        program = self.roles[role]["run"].split()[0]
        self.processes[name] = Process(name, [os.path.join(ROOT, program), "--settings=" + settings],
                                       os.path.join(self.folder, name + ".log"))

    def add_frontend(self, number):
        node, zone = f"frontend-{number}", ZONES[(number - 1) % 3]
        data = os.path.join(self.folder, "data-" + node)
        os.mkdir(data)
        self.add_daemon("control", self.ip(number), node, zone, {"data_dir": data})
        self.add_daemon("gateway", self.ip(number), node, zone, {})

    def machine(self, number):
        return [self.processes[f"{role}-frontend-{number}"] for role in ("control", "gateway")]

    def lose_disk(self, number):
        """Empties the folder of a machine that is down. It is not the first start
        of the system any more."""
        data = os.path.join(self.folder, f"data-frontend-{number}")
        shutil.rmtree(data)
        os.mkdir(data)
        settings = os.path.join(self.folder, f"control-frontend-{number}.json")
        with open(settings) as file:
            text = file.read().replace('"bootstrap": true', '"bootstrap": false')
        with open(settings, "w") as file:
            file.write(text)

    def add_agent(self, number):
        node, zone = f"side-{number}", ZONES[(number - 1) % 3]
        ip = self.minion_ip(number)
        self.add_daemon("agent", ip, node, zone, {"app": f"{ip}:{PORTS['app']}"})

    def start_minion(self, number, keep_id=False, clock_offset_ms=0):
        if not keep_id or self.lives[number] == 0:
            self.lives[number] += 1
        ip, name = self.minion_ip(number), f"minion-{number}"
        command = [sys.executable, os.path.join(HERE, "minion.py"),
                   f"--listen={ip}:{PORTS['app']}", f"--agent={ip}:{PORTS['control']}",
                   f"--id=i-{number}-{self.lives[number]}", f"--name={name}",
                   f"--service={self.service}", f"--zone={ZONES[(number - 1) % 3]}",
                   f"--record={self.runs_path}", "--labels=" + ",".join(self.labels(number)),
                   f"--cpu={self.cores * 1000}", f"--clock-offset-ms={clock_offset_ms}"]
        process = Process(name, command, os.path.join(self.folder, name + ".log"))
        self.processes[name] = process
        process.start()

    def start(self, routes=None, settle_s=3.0):
        program = os.path.join(ROOT, self.roles["control"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CouldNotRun("the deploy file's build is missing")
        for process in list(self.processes.values()):
            process.start()
        for number in self.minion_numbers:
            self.start_minion(number)
        self.put_config(1, routes)
        self.wait(15, lambda: all(self.ready(n) for n in (1, 2, 3)), "the gateways to be ready")
        time.sleep(settle_s)

    def stop(self):
        self.over = True
        time.sleep(0.1)
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            if process.child:
                process.child.wait()
        if Process.keeper:
            for process in self.processes.values():
                if process.child:
                    Process.keeper.tell(f"-{process.child.pid}")
            Process.keeper.end()
        self.write_record()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- Calls ---

    def call(self, ip, port, method, path, body=None, timeout=3.0, headers=None):
        """Returns (status, body); (None, "") without an answer."""
        connection = http.client.HTTPConnection(ip, port, timeout=timeout)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Content-Type": "application/json", **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read().decode("utf-8", "replace")
        except (OSError, http.client.HTTPException):
            return None, ""
        finally:
            connection.close()

    def ready(self, number):
        return self.call(self.ip(number), PORTS["readiness"], "GET", "/ready", timeout=1)[0] == 200

    def route(self, name, prefix, **changes):
        route = {"name": name, "hostname": self.host, "path_prefix": prefix, "type": "unsafe",
                 "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
                 "service": self.service, "attempts": 3, "slack_factor": 2.0}
        route.update(changes)
        return route

    def put_config(self, version, routes=None):
        config = {"version": version, "routes": routes or [self.route("r-temper", self.prefix)],
                  "services": [{"name": self.service, "health_path": "/health",
                                "max_connections": 64, "protocol": "h1", "tls": False,
                                "enforce_capacity": False, "standby": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

        def sent():
            for number in (1, 2, 3):
                status, _ = self.call(self.ip(number), PORTS["control"], "PUT", "/config", config,
                                      timeout=2)
                if status == 200:
                    return True
            return False
        self.wait(20, sent, "the configuration to be acknowledged")
        self.note("config", version, "acknowledged")

    def job_call(self, method, job, body=None, prefix=None, gateway=None, timeout=3.0):
        number = gateway or random.randint(1, 3)
        status, text = self.call(self.ip(number), PORTS["frontend"], method,
                                 (prefix or self.prefix) + job, body, timeout,
                                 {"Host": self.host, "X-Savoryring-Deadline-Ms": "3000"})
        self.note("client", method, job, "gateway", number, "->", status, text.strip()[:200])
        return status, text

    def submit(self, body, prefix=None, tries=4, job=None):
        """Hands a job in as a client does. Returns its id, or None."""
        job = job or "%016x" % random.getrandbits(64)
        for _ in range(tries):
            status, _ = self.job_call("POST", job, body, prefix)
            if status is not None and 200 <= status < 300:
                return job
            time.sleep(0.3)
        return None

    def state(self, job, prefix=None):
        status, text = self.job_call("GET", job, prefix=prefix)
        if status == 200:
            return json.loads(text).get("state")
        return status

    # --- Records ---

    def note(self, *fields):
        with self.record_lock:
            self.lines.append("%.3f " % time.time() + " ".join(str(f) for f in fields))

    def runs(self, job=None):
        """Lines of the minions: [time, minion, born, event, task, run, ...]."""
        with open(self.runs_path) as file:
            rows = [line.split() for line in file]
        return [row for row in rows
                if job is None or len(row) > 4 and row[4].startswith(job + ".")]

    def at_work(self, job):
        """Names of the job's tasks that run on a life that is not over."""
        runs, last_life = {}, {}
        for row in self.runs():
            if row[3] == "life":
                last_life[row[1]] = row[2]
            elif row[4].startswith(job + "."):
                key = (row[1], row[2], row[4], row[5])
                if row[3] == "start":
                    runs[key] = row
                elif row[3] == "end":
                    runs.pop(key, None)
        return {key[2] for key in runs if last_life[key[0]] == key[1]
                and self.processes[key[0]].alive()}

    def write_record(self):
        with open(self.runs_path) as file:
            lines = self.lines + [line.strip() for line in file]
        with open(self.record_path, "w") as file:
            for line in sorted(lines):
                at, _, rest = line.partition(" ")
                file.write("%8.3f %s\n" % (float(at) - self.begin, rest))

    def wait(self, seconds, condition, what):
        end = time.time() + seconds
        while time.time() < end:
            if condition():
                return
            time.sleep(0.1)
        raise CouldNotRun("waited in vain for " + what)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_folder, play, **options):
    """`play(fleet)` returns a list of breaks. Exits with the case's code."""
    fleet = None

    def on_end_signal(*_):
        raise CouldNotRun("ended by a signal")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_end_signal)
    try:
        fleet = Fleet(case_folder, **options)
        fleet.start()
        breaks = play(fleet)
        for line in breaks:
            fleet.note("RULE BROKEN:", line)
            print("rule broken:", line)
        if not breaks:
            print("the rule held")
        code = BROKEN if breaks else HELD
    except CouldNotRun as problem:
        print("the case could not run:", problem)
        code = COULD_NOT_RUN
    except Exception:  # a fault of the script is no broken rule
        traceback.print_exc()
        code = COULD_NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()
    sys.exit(code)

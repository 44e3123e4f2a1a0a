"""An operator changes a large configuration a few hundred times while there is
little other work. Then all core processes are killed at the same moment, and
are back within a second. What was acknowledged must still be there."""
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-2"))
import fleet as fleets  # noqa: E402

# Limits of the deployment for which the pages name big_config (ogbo-spawn-grown).
MEMORY_MB, DISK_MB = 384, 192
ROUTES = 3 if os.environ.get("SMALL") == "1" else 1664  # the pages: big_config, count 1664
CHANGES = 311          # the pages: "hundreds of changes"
MIN_CHANGES, MAX_CHANGE_S = 311, 78  # on a slow machine it can't run
STORM_S, PAUSE_S = 4.0, 0.5   # the pages: config_storm for 4.43 s
RECOVERY_S = 15        # recovery_s of that deployment
JOB = {"spec": "work_ms=300", "phases": [
    {"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 300}]}


class Platform:
    """Kills a process that uses more memory than its machine has, and starts
    processes that have ended again after a short delay."""

    def __init__(self, fleet):
        self.fleet, self.kills, self.peak_mb = fleet, 0, 0
        self.processes = [fleet.processes[f"control-frontend-{n}"] for n in (1, 2, 3)]
        self.held_down = False
        threading.Thread(target=self.run, daemon=True).start()

    def anonymous_mb(self, process):
        try:
            with open(f"/proc/{process.child.pid}/status") as status:
                for line in status:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    def run(self):
        ended = {}
        while True:
            time.sleep(0.02)
            for process in self.processes:
                if process.alive():
                    used = self.anonymous_mb(process)
                    self.peak_mb = max(self.peak_mb, used)
                    if used > MEMORY_MB:
                        process.kill()
                        self.kills += 1
                        self.fleet.note("platform kills", process.name, "for using", used, "MB")
                elif not self.held_down and not self.fleet.over:
                    since = ended.setdefault(process.name, time.time())
                    if time.time() > since + 0.5:
                        del ended[process.name]
                        process.start()


def folder_mb(folder):
    return sum(entry.stat().st_size for entry in os.scandir(folder)) / 2 ** 20


def configuration(fleet, version):
    routes = [fleet.route("r-temper", fleet.prefix)]
    routes += [fleet.route("r-%07d" % number, "/idle%04d/" % number) for number in range(ROUTES)]
    routes[1]["timeout_ms"] = 3000 + version
    return routes


def play(fleet):
    platform = Platform(fleet)
    jobs = [fleet.submit(JOB) for _ in range(10)]
    version, begin = 1, time.time()
    while version < CHANGES and time.time() < begin + MAX_CHANGE_S:
        storm_end = time.time() + STORM_S
        while version < CHANGES and time.time() < storm_end:
            version += 1
            fleet.put_config(version, configuration(fleet, version))
        jobs.append(fleet.submit(JOB))
        time.sleep(PAUSE_S)
    fleet.note(version, "changes in %.1f s" % (time.time() - begin),
               "most memory of a core process", platform.peak_mb, "MB")
    if version < MIN_CHANGES:
        raise fleets.CouldNotRun("the machine is too slow for so many changes")
    disk_mb = max(folder_mb(os.path.join(fleet.folder, f"data-frontend-{n}", "control"))
                  for n in (1, 2, 3))
    fleet.note("most disk of a core process", "%.1f" % disk_mb, "MB")
    if disk_mb > DISK_MB:
        raise fleets.CouldNotRun("the changes take more disk than the machine has")
    if fleets.trouble():
        platform.held_down = True
        for process in platform.processes:
            process.kill()
        fleet.note("all core processes are killed")
        time.sleep(0.7)
        for process in platform.processes:
            process.start()
        platform.held_down = False
        fleet.note("all core processes are started")
    end = time.time() + RECOVERY_S + 5
    newest = None
    while time.time() < end and newest is None:
        for number in (1, 2, 3):
            status, text = fleet.call(fleet.ip(number), fleets.PORTS["control"], "GET", "/config")
            fleet.note("operator GET /config at", number, "->", status, text[:14])
            if status == 200:
                newest = json.loads(text)["version"]
        time.sleep(0.5)
    unanswered = [job for job in jobs if job and fleet.state(job) not in
                  ("pending", "running", "completed")]
    fleet.note("killed for memory:", platform.kills, "times, most memory", platform.peak_mb, "MB")
    breaks = []
    if newest != version:
        breaks.append(f"LOST: configuration {version} was acknowledged; {RECOVERY_S + 5} s after "
                      f"the core was killed a read gives {newest}; core processes were killed "
                      f"{platform.kills} times for using over {MEMORY_MB} MB")
    if unanswered:
        breaks.append(f"LOST: {len(unanswered)} of {len(jobs)} accepted jobs get no answer")
    return breaks


if __name__ == "__main__":
    fleets.run_case(HERE, play, minions=3)

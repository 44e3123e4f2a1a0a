"""A core machine that was away for some seconds gets the state from the leader,
and is killed while it stores it. It must still be a core machine after that:
with it, the system bears the loss of another one's disk."""
import json
import os
import re
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-2"))
import fleet as fleets  # noqa: E402

AWAY_S = 3.0      # the pages: node_kill on the core, up to 4.8 s
SNAPSHOT_EVERY = 4000  # the default of the settings
JOB = {"spec": "work_ms=40", "phases": [
    {"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 40}]}


def metric(fleet, number, name):
    status, text = fleet.call(fleet.ip(number), 9101, "GET", "/metrics", timeout=1)
    found = re.search(r"^%s(?:\{.*?\})? ([0-9.e+]+)" % name, text, re.M) if status == 200 else None
    return float(found[1]) if found else 0


def applied(fleet):
    return max(metric(fleet, number, "control_applied_index") for number in (1, 2, 3))


def leader(fleet):
    for _ in range(50):
        for number in (1, 2, 3):
            if metric(fleet, number, "control_serves") == 1:
                return number
        time.sleep(0.1)
    raise fleets.CouldNotRun("no leader")


class Load:
    """Clients that hand in small jobs until stopped."""

    def __init__(self, fleet, clients=10):
        self.fleet, self.stopped, self.jobs = fleet, False, []
        self.threads = [threading.Thread(target=self.run) for _ in range(clients)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while not self.stopped:
            job = self.fleet.submit(JOB)
            if job:
                self.jobs.append(job)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()


def until(fleet, index, seconds):
    fleet.wait(seconds, lambda: applied(fleet) >= index, f"log entry {index}")


def inode(path):
    try:
        return os.stat(path).st_ino
    except OSError:
        return 0


def kill_while_storing(process, folder):
    """Kills the process between the replacement of its two files. Returns
    whether that was hit."""
    snapshot, log = os.path.join(folder, "snapshot"), os.path.join(folder, "log")
    before, log_before = inode(snapshot), inode(log)
    process.start()
    end = time.time() + 8
    while time.time() < end:
        if inode(snapshot) != before:
            process.signal(signal.SIGKILL)
            process.child.wait()
            return inode(log) == log_before
    return False


def restart_by_platform(fleet, process, seconds):
    """Starts the process again whenever it has ended, as the platform does.
    Returns how often it ended by itself."""
    ends, end = 0, time.time() + seconds
    while time.time() < end:
        if not process.alive():
            ends += 1
            fleet.note(process.name, "ended by itself with code", process.child.returncode)
            process.start()
        time.sleep(0.6)
    return ends


def kill_around_snapshot(fleet, miss):
    """A core machine is away while the leader makes a snapshot, and is killed
    again while it stores that. Returns the load, the process, which is down,
    and whether that was hit."""
    begin_index = applied(fleet)
    load = Load(fleet, 2)
    try:
        until(fleet, begin_index + SNAPSHOT_EVERY // 4, 70)
    finally:
        load.stop()
    time.sleep(1)
    leads = leader(fleet)
    away = next(number for number in (1, 2, 3) if number != leads)
    process = fleet.processes[f"control-frontend-{away}"]
    folders = {number: os.path.join(fleet.folder, f"data-frontend-{number}", "control")
               for number in (away, leads)}
    snapshot = os.path.join(folders[leads], "snapshot")
    snapshot_before = inode(snapshot)
    begin = time.time()
    if fleets.trouble():
        fleet.note("control", away, "killed at log entry", applied(fleet))
        process.kill()
    load = Load(fleet, 3)
    try:
        fleet.wait(20, lambda: inode(snapshot) != snapshot_before, "a snapshot of the leader")
    finally:
        load.stop()
    if not fleets.trouble():
        return load, process, False
    if time.time() > begin + 4.5:
        raise fleets.CouldNotRun("the machine was away for too long")
    time.sleep(max(0, begin + AWAY_S - time.time()))
    if miss:
        process.start()
        time.sleep(2)
        process.kill()
        return load, process, True
    hit = kill_while_storing(process, folders[away])
    fleet.note("control", away, "killed while it stores the state; between the files:", hit)
    if not hit:
        process.start()
    return load, process, hit


def play(fleet):
    # MISS=1: the second kill comes when the state has been stored.
    miss = os.environ.get("MISS") == "1"
    for attempt in range(3):
        load, process, hit = kill_around_snapshot(fleet, miss)
        if hit or not fleets.trouble():
            break
        fleet.note("attempt", attempt + 1, "came too early or too late")
        time.sleep(2)
    else:
        raise fleets.CouldNotRun("the kill came too early or too late three times")
    if fleets.trouble():
        time.sleep(0.7)
        process.start()
    jobs = load.jobs[-20:]
    for _ in range(20):
        jobs.append(fleet.submit(JOB))
        time.sleep(0.1)
    if fleets.trouble():
        fleet.note(process.name, "gets SIGTERM and starts again")
        process.signal(signal.SIGTERM)
        process.child.wait()
        process.start()
    ends = restart_by_platform(fleet, process, 5)
    fleet.put_config(2)
    wiped = leader(fleet)
    if fleets.trouble():
        fleet.note("machine", wiped, "loses its disk")
        for lost in fleet.machine(wiped):
            lost.kill()
        fleet.lose_disk(wiped)
        time.sleep(1)
        for lost in fleet.machine(wiped):
            lost.start()
    ends += restart_by_platform(fleet, process, 14)
    breaks = []
    versions = []
    for _ in range(4):
        for number in (1, 2, 3):
            status, text = fleet.call(fleet.ip(number), fleets.PORTS["control"], "GET", "/config")
            fleet.note("operator GET /config at", number, "->", status, text[:14])
            versions.append(json.loads(text)["version"] if status == 200 else None)
        time.sleep(0.5)
    if not any(versions):
        breaks.append("CONFIG: the configuration 2, which was acknowledged, can't be read back "
                      "14 s and more after the loss of one disk")
    unanswered = [job for job in jobs if job and fleet.state(job) not in
                  ("pending", "running", "completed", "failed")]
    if unanswered:
        breaks.append(f"LOST: {len(unanswered)} of {len(jobs)} accepted jobs get no answer; "
                      f"a core process ended by itself {ends} times")
    return breaks


if __name__ == "__main__":
    fleets.run_case(HERE, play, minions=3)

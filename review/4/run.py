"""A heartbeat of another writer, for a service that the configuration doesn't
name, reaches an agent while its minion works."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from case import play

SIDES = 4
JOBS = 4
WORK_MS = 8000


def overlaps(history):
    """Starts of a task while another run of it is at work."""
    running, found = {}, []
    for at, event, minion, task, run in sorted(history):
        at_work = running.setdefault(task, [])
        if event == "begins":
            found += [(at, task, run, minion) + other for other in at_work]
            at_work.append((run, minion))
        else:
            at_work.remove((run, minion))
    return found


def act(case):
    jobs = [case.submit([{"count": 2, "cpu": 1000, "mem_mb": 100,
                          "estimated_ms": WORK_MS, "anti_affinity": 1}],
                        "work_ms=%d" % WORK_MS) for _ in range(JOBS)]
    time.sleep(2)
    if case.trouble:
        busiest = max(case.platform.minions.values(),
                      key=lambda minion: len(minion.running))
        body = busiest.announcement(
            service="zz90k", address="127.0.0.1:9", sequence=1,
            born=int(time.time() * 1000))
        path = "/instances/i-7f3a91c2"
        status, _ = case.fleet.call(busiest.machine, "control", "PUT", path,
                                    body, timeout=1.0)
        case.record.write("another writer PUT", path, "service zz90k at",
                          busiest.machine, "->", status)
    time.sleep(2 * WORK_MS / 1000 + 4)
    for job in jobs:
        case.client.state(job)
    twice = overlaps(case.platform.history)
    for at, task, run, minion, other_run, other in twice:
        case.say("%.3f" % at, task, "begins as run", run, "on", minion,
                 "while run", other_run, "is at work on", other)
    return not twice


if __name__ == "__main__":
    play(__file__, SIDES, act)

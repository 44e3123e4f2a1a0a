"""A minion is lost for good, and the agent beside it is killed and restarted
before it has told the leader."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from case import play

SIDES = 7
KILL_AFTER_S = 0.2
DOWN_S = 0.3
# 6 s after the last run of a lasting task, 4 s and then 3 s that are calm; and
# contact_ms after the last disruption. Doubled.
WAIT_S = 32.0


def act(case):
    platform, fleet = case.platform, case.fleet
    watch = case.submit(
        [{"count": 6, "cpu": 1000, "mem_mb": 500, "estimated_ms": 400,
          "long_running": True, "anti_affinity": 1}], "lasts=1")
    batch = case.submit(
        [{"count": 7, "cpu": 1000, "mem_mb": 500, "estimated_ms": 3000,
          "anti_affinity": 1}], "work_ms=3000")
    time.sleep(1.5)
    machine = next(m for m in fleet.sides
                   if any(task.startswith(watch)
                          for task in platform.minions[m].running))
    if case.trouble:
        platform.minions[machine].crash()
        time.sleep(KILL_AFTER_S)
        fleet.kill(machine, "agent")
        time.sleep(DOWN_S)
        fleet.start(machine, "agent")
    time.sleep(WAIT_S)
    with platform.lock:
        running = {task for minion in platform.minions.values()
                   for task in minion.running if task.startswith(watch)}
    missing = sorted({"%s.0.0.%d" % (watch, i) for i in range(6)} - running)
    state = case.client.state(batch)
    room = sum(16 - sum(1 for _ in m.running)
               for m in platform.minions.values() if m.alive)
    for task in missing:
        case.say(task, "is to last and runs nowhere for %g s," % WAIT_S,
                 "with %d cores free" % room)
    if state != "completed":
        case.say("job", batch, "of 3 s is", state, "after %g s," % WAIT_S,
                 "with %d cores free" % room)
    return not missing and state == "completed"


if __name__ == "__main__":
    play(__file__, SIDES, act)

"""The seeds are exchanged for the other machines that serve control, these lose
their processes at the same moment, and later the side machines are restarted one
after the other."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from case import play

SIDES = 6
PLAIN = 3
WAIT_S = 26.0  # recovery_s and finish_s


def act(case):
    fleet = case.fleet
    others = fleet.fronts[len(fleet.cores):]
    if case.trouble:
        fleet.change_seeds(others)
        time.sleep(6)
        for machine in others:
            fleet.processes[machine, "control"].send_signal(signal.SIGKILL)
        for machine in others:
            fleet.kill(machine, "control")
        time.sleep(0.5)
        for machine in others:
            fleet.start(machine, "control")
        time.sleep(6)
    # Planned work, with TROUBLE=0 too.
    for machine in fleet.sides:
        fleet.end(machine, "agent")
        fleet.start(machine, "agent")
        time.sleep(1.4)
    job = case.submit([{"count": 3, "cpu": 1000, "mem_mb": 100,
                        "estimated_ms": 500}], "work_ms=500")
    end = time.monotonic() + WAIT_S
    state = ""
    while time.monotonic() < end and state != "completed":
        time.sleep(0.5)
        state = case.client.state(job)
    starts = sum(1 for h in case.platform.history if h[1] == "begins")
    case.say("a job of 0.5 s, handed in when all is up again:", state,
             "with", starts, "starts")
    return state == "completed"


if __name__ == "__main__":
    play(__file__, SIDES, act, plain=PLAIN)

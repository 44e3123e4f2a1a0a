"""Plays a case: starts the deployment, lets the case act, reports its verdict.

Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
TROUBLE=0 in the environment leaves the disruption out.
"""

import os
import signal
import sys
import threading
import time
import traceback

import fleet as fleets
import minions

LIMIT_S = 115


class Case:
    def __init__(self, folder, sides, plain=0):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = fleets.Record(os.path.join(folder, "record.txt"))
        self.fleet = fleets.Fleet(self.record, plain=plain, sides=sides)
        self.bounds = fleets.BOUNDS
        self.platform = minions.Platform(self.fleet, self.record, self.bounds)
        self.client = fleets.Client(self.fleet, self.record)
        self.lives = {}

    def start(self):
        """Returns when minions have had time to register with the leader."""
        self.fleet.start_all()
        self.fleet.configure(fleets.config())
        for machine in self.fleet.sides:
            self.add_minion(machine)
        self.fleet.wait_ready()
        time.sleep(2.5)

    def add_minion(self, machine):
        self.lives[machine] = self.lives.get(machine, 0) + 1
        number = self.fleet.sides.index(machine)
        return self.platform.add(
            machine, instance="i-%d-%d" % (number, self.lives[machine]),
            service=fleets.SERVICE, labels=["a", "r1-%d" % (number // 3)])

    def submit(self, phases, spec):
        """Hands a job in; it has to be accepted. Returns its id."""
        job = fleets.new_id()
        if not 200 <= self.client.submit(job, phases, spec) < 300:
            raise fleets.CannotRun("a job was not accepted")
        return job

    def say(self, *words):
        text = " ".join(str(word) for word in words)
        self.record.write("check:", text)
        print(text)

    def stop(self):
        self.fleet.stop_all()
        self.platform.stop()


def play(file, sides, act, plain=0):
    """`act(case)` returns whether the rule held."""
    ends = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    for number in ends:
        signal.signal(number, lambda *_: sys.exit(2))
    status, case = 2, None
    try:
        case = Case(os.path.dirname(os.path.abspath(file)), sides,
                    plain)

        def give_up():
            case.fleet.stop_all()
            os._exit(2)

        timer = threading.Timer(LIMIT_S, give_up)
        timer.daemon = True
        timer.start()
        case.start()
        held = act(case)
        dead = case.fleet.dead()
        if dead:
            print("can't run: processes ended by themselves:", dead)
        else:
            status = 0 if held else 1
            case.say("the rule", "held" if held else "was broken")
    except fleets.CannotRun as error:
        print("can't run:", error)
    except Exception:
        traceback.print_exc()
    finally:
        for number in ends:
            signal.signal(number, signal.SIG_IGN)
        if case is not None:
            case.stop()
    sys.exit(status)

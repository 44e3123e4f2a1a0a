"""Ends the processes of a script that was ended itself, even by SIGKILL.

Reads "+PID" and "-PID" lines. At the end of its input it kills the processes
that were added and not removed.
"""
import os
import signal
import sys

for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(number, signal.SIG_IGN)
processes = set()
for line in sys.stdin:
    pid = int(line[1:])
    (processes.add if line[0] == "+" else processes.discard)(pid)
for pid in processes:
    try:
        os.kill(pid, signal.SIGKILL)
    except ProcessLookupError:
        pass

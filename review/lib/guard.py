"""Ends what a case has started if the case itself is killed.

Reads lines from standard input: "folder PATH", "started PID", "ended PID". At
the end of the input, the processes that have not ended are killed by their ids,
and the temporary folder is removed.
"""

import os
import shutil
import signal
import sys


def main():
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    folder, pids = None, set()
    for line in sys.stdin:
        word, value = line.split(None, 1)
        if word == "folder":
            folder = value.rstrip("\n")
        elif word == "started":
            pids.add(int(value))
        else:
            pids.discard(int(value))
    for pid in pids:
        try:
            # The id may be that of another process by now.
            with open("/proc/%d/cmdline" % pid) as file:
                if folder and folder in file.read():
                    os.kill(pid, signal.SIGKILL)
        except OSError:
            pass
    if folder:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()

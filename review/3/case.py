"""Case 3: clients send bodies within the operator's limit; the entry never answers again."""
import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from fleet import FRONT, READY, Fleet, Operator, Record, Runner, call, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_BODY_BYTES = 4194304  # limits.maxBodyBytes of the example on the pages
BODY_BYTES = 4000000
UPLOAD_S = 4.0  # 8 Mbit/s for each client
PER_S = 16  # 18.7 a second in three regions, times 2.5 (burst)
BURST_S = 6.0
TIMEOUT_S = 5.0  # timeoutMs of the route
SMALL = 40


class Client:
    """Sends one request on a new connection, the body at an even rate."""

    def __init__(self, entry, record, size, upload_s):
        self.entry, self.record, self.size, self.upload_s = entry, record, size, upload_s
        self.id = "%016x" % random.getrandbits(64)
        self.status, self.after = None, None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        began = time.monotonic()
        try:
            with socket.create_connection((self.entry.ip, FRONT), 1.0) as s:
                s.settimeout(9.0)
                s.sendall((
                    "POST /p000000/photo HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\n"
                    "X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n" % (self.id, self.size)).encode())
                sent = 0
                while sent < self.size:
                    share = 1.0 if not self.upload_s else min(
                        1.0, (time.monotonic() - began) / self.upload_s)
                    due = min(self.size, int(share * self.size) + 16384)
                    if due > sent:
                        s.sendall(b"x" * (due - sent))
                        sent = due
                    else:
                        time.sleep(0.02)
                line = s.makefile("rb").readline()
                self.status = int(line.split()[1]) if line else 0
        except (OSError, ValueError, IndexError) as e:
            self.status = self.status or 0
            self.record("request %s: %r" % (self.id, e))
        self.after = time.monotonic() - began
        self.record("request %s of %d bytes: status %d after %.2f s" %
                    (self.id, self.size, self.status, self.after))

    def answered(self):
        """Returns whether a final answer came within the route's time and half a second."""
        return bool(self.status) and self.after <= TIMEOUT_S + 0.5


def send_evenly(count, per_s, entry, record, size, upload_s):
    clients = []
    for _ in range(count):
        clients.append(Client(entry, record, size, upload_s))
        time.sleep(1 / per_s)
    for c in clients:
        c.thread.join()
    return clients


def main():
    record = Record(HERE)
    fleet = Fleet(record)
    operator = Operator(fleet, record)
    runners = []
    try:
        fleet.start()
        if operator.order("/Config.Put", configuration(1, 0), 20, 4) != 200:
            return 2
        for i, zone in enumerate(("hall-a", "hall-b", "hall-c")):
            name = "i-%08x" % random.getrandbits(32)
            runners.append(Runner(fleet, record, name, "wuno96b", zone, 60 + i))
        if not fleet.ready(20):
            return 2
        time.sleep(6)
        entry = fleet.entries[0]
        before = send_evenly(SMALL, 20, entry, record, 600, 0)
        if sum(c.answered() for c in before) < SMALL - 2:
            return 2
        size = BODY_BYTES if TROUBLE else 600
        record("photos of %d bytes, the limit is %d" % (size, MAX_BODY_BYTES))
        photos = send_evenly(round(PER_S * BURST_S), PER_S, entry, record, size, UPLOAD_S)
        time.sleep(10)  # contactMs and 5 s for which a machine under pressure counts as slowed
        after = send_evenly(SMALL, 20, entry, record, 600, 0)
        missing = SMALL - sum(c.answered() for c in after)
        record("of %d photos %d were answered in time; of %d small requests sent 10 s later %d "
               "had no final answer within timeoutMs and 0.5 s" %
               (len(photos), sum(c.answered() for c in photos), SMALL, missing))
        record("GET /ready: %s; process ended by itself: %d" %
               (call(entry.ip, READY, "GET", "/ready")[0], entry.own_ends))
        return 1 if missing >= 8 and missing > SMALL / 4 else 0
    finally:
        for r in runners:
            r.close()
        fleet.close()


if __name__ == "__main__":
    status = main()
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)

"""Starts the programs of deploy/system.toml as separate processes on loopback addresses.

Only the Python standard library is used. Each instance has a loopback address of its own in a
network that is drawn at random, so that the fixed ports of the settings do not collide.
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

TIME_LIMIT_S = 112  # with the clean-up, a script ends within 120 s


class TimeLimitError(Exception):
    """The script has to end; not an OSError, so that no call takes it for a failed connection."""


def run_case(main):
    """Runs a case and exits with its status: 0 held, 1 broken, 2 could not run. An error of the
    script or its time limit is no broken rule; the case has ended its processes by then."""
    def stop(number, frame):
        raise TimeLimitError("signal %d" % number)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(TIME_LIMIT_S)
    try:
        status = main()
    except Exception as e:  # noqa: BLE001
        print(repr(e))
        status = 2
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)


ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL, DIRECTORY, FRONT, READY, PEER, METRICS = 8146, 8143, 8144, 8140, 7660, 9464
ZONES = {"hall-a": "north", "hall-b": "south", "hall-c": "west"}
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 5000, "ackMs": 6000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250,
    "maxSkewMs": 8000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 58,
    "warmupOvershoot": 1.5, "warmupSlack": 3, "evacuateMs": 5000, "recoveryS": 12, "passMs": 600,
    "reuseWindowS": 10, "ttl_max_s": 5,
}


def read_role(name):
    """Returns the command and the environment of a role in the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    section = text.split("[roles.%s]" % name)[1].split("\n[roles.")[0]
    run = re.search(r'^run = "([^"]*)"', section, re.M).group(1)
    env = re.search(r"^env = \{(.*)\}", section, re.M).group(1)
    return run.split(" "), dict(re.findall(r'(\w+) = "([^"]*)"', env))


def configuration(version, added_routes):
    """Returns a valid configuration with four routes of a small deployment and more of them, in the
    forms of the example on the pages. Successive versions change the time limit of one route."""
    routes = []
    for i in range(added_routes + 4):
        route = {
            "name": "r-%07x" % (i * 7919), "host": "ficu95.example",
            "pathPrefix": "/p%06x/" % (i * 7907), "type": "unsafe",
            "timeoutMs": 5000 + (version % 50 if i == 1 else 0), "targetLatencyMs": 300,
            "priority": 2, "service": "wuno96b", "maxAttempts": 1, "stickySessions": False,
            "resumable": False, "homeRegions": []}
        if i % 4 == 1:
            route.update({"type": "safe", "maxAttempts": 2})
        elif i % 4 == 2:
            route.update({"type": "streaming", "stickySessions": True, "gapAimMs": 300,
                          "homeRegions": ["north", "south"]})
        elif i % 4 == 3:
            del route["service"]
            route.update({"type": "streaming", "stickySessions": True, "gapAimMs": 300,
                          "resumable": True, "maxAttempts": 2,
                          "trafficSplit": [{"service": "huvo11a", "weight": 90},
                                           {"service": "wuno96b", "weight": 10}]})
        routes.append(route)
    plain = {"healthPath": "/healthz", "protocol": "h1", "tls": False, "warmupS": 0.0,
             "warmupPerS": 0.0}
    return json.dumps({
        "version": version, "routes": routes,
        "services": [dict(plain, name="huvo11a", maxConnections=250),
                     dict(plain, name="wuno96b", maxConnections=110)],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}, separators=(",", ":"))


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()


class Instance:
    """One process of the deploy file. The platform restarts a process that ends by itself."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.process, self.wanted, self.own_ends = None, False, 0
        self.first = True
        self.folder = os.path.join(fleet.folder, name)
        self.data = os.path.join(self.folder, "data") if role == "control" else None
        os.makedirs(self.data or self.folder)

    def settings(self):
        control = self.role == "control"
        listen = (
            {"control": "%s:%d" % (self.ip, CONTROL), "directory": "%s:%d" % (self.ip, DIRECTORY)}
            if control
            else {"front": "%s:%d" % (self.ip, FRONT), "ready": "%s:%d" % (self.ip, READY)}
        )
        return {
            "nodeName": self.name, "role": self.role,
            "machineClass": "core" if control else "front",
            "serves": ["control", "directory"] if control else ["front"],
            "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
            "listen": listen, "internalPorts": [PEER, PEER + 15],
            "seeds": ["%s:%d" % (ip, CONTROL) for ip in self.fleet.seed_ips],
            "firstStart": self.first, "faultCounted": control,
            "limits": {"cpuShare": 0.9 if control else 0.75, "cpuCores": 2 if control else 1,
                       "memoryMb": 426 if control else 430, "maxFds": 4096,
                       "linkMbps": 1000.0, "diskMb": 128 if control else 0},
            "dataDir": self.data, "discovery": "registry", "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "places"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": BOUNDS, "configMode": "highest",
        }

    def launch(self):
        path = os.path.join(self.folder, "local.json")
        with open(path, "w") as f:
            json.dump(self.settings(), f)
        self.first = False
        command, env = read_role(self.role)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG")
                       if k in os.environ}
        environment.update(env)
        environment["LACEWINGCROFT_CONFIG"] = path
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
            self.fleet.started.append(self.process)

    def start(self):
        self.wanted = True
        self.launch()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def watch(self):
        """Restarts the process if it ended by itself."""
        if self.wanted and not self.running():
            self.own_ends += 1
            self.fleet.record("process %s ended by itself, status %s" %
                              (self.name, self.process.returncode))
            self.launch()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.wanted = False
        if self.running():
            self.process.kill()
        self.process.wait()


class Fleet:
    def __init__(self, record, controls=5, entries_per_region=1):
        self.record = record
        self.started, self.watcher = [], None
        self.folder = tempfile.mkdtemp(prefix="review-")
        net = self._free_network(controls + 3 * entries_per_region)
        zones = list(ZONES)
        self.seed_ips = ["%s.%d" % (net, 11 + i) for i in range(3)]
        self.controls = [
            Instance(self, "core-%d" % i, "control", "%s.%d" % (net, 11 + i), zones[i % 3])
            for i in range(controls)]
        self.entries = [
            Instance(self, "front-%d" % i, "entry", "%s.%d" % (net, 41 + i), zones[i % 3])
            for i in range(3 * entries_per_region)]
        self.net = net
        self.closing = False

    @staticmethod
    def _free_network(count):
        for _ in range(100):
            net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
            try:
                for host in [11 + i for i in range(8)] + [41 + i for i in range(12)]:
                    for port in (CONTROL, DIRECTORY, FRONT, READY, PEER, PEER + 1, METRICS):
                        with socket.socket() as s:
                            s.bind(("%s.%d" % (net, host), port))
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback network")

    def instances(self):
        return self.controls + self.entries

    def start(self):
        for i in self.instances():
            i.start()
        self.watcher = threading.Thread(target=self._watch, daemon=True)
        self.watcher.start()

    def _watch(self):
        while not self.closing:
            for i in self.instances():
                if not self.closing:
                    i.watch()
            time.sleep(0.5)

    def ready(self, timeout):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if all(call(e.ip, READY, "GET", "/ready", timeout=1)[0] == 200 for e in self.entries):
                return True
            time.sleep(0.2)
        return False

    def close(self):
        signal.alarm(0)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        self.closing = True
        if self.watcher is not None:
            self.watcher.join(5)
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def call(ip, port, method, path, body=None, timeout=1.0, headers=None):
    """Makes a call; returns status and body, or 0 and the error if there was no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body=body,
                           headers=headers or {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as e:
        return 0, repr(e).encode()
    finally:
        connection.close()


class Operator:
    """Sends orders as the pages say: picks among the control machines, moves on after a failure, a
    5xx, a 408 or 429 or a second without an answer (more for large bodies), with growing pauses."""

    def __init__(self, fleet, record):
        self.fleet, self.record, self.turn = fleet, record, 0

    def order(self, path, body=None, within=20.0, timeout=1.0):
        deadline = time.monotonic() + within
        pause, began = 0.1, time.monotonic()
        while time.monotonic() < deadline:
            target = self.fleet.controls[self.turn % len(self.fleet.controls)]
            status, answer = call(target.ip, CONTROL, "POST", path, body, timeout)
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                self.record("order %s at %s answered %d after %.2f s" %
                            (path, target.name, status, time.monotonic() - began))
                return status
            self.record("order %s at %s: %s %s" % (path, target.name, status, answer[:80]))
            self.turn += 1
            time.sleep(min(pause, max(0, deadline - time.monotonic())))
            pause = min(1.0, pause * 1.5)
        return 0

    def read(self, within, timeout=1.0):
        """Asks for the newest configuration until one answers 200."""
        deadline = time.monotonic() + within
        pause = 0.1
        while time.monotonic() < deadline:
            target = self.fleet.controls[self.turn % len(self.fleet.controls)]
            status, answer = call(target.ip, CONTROL, "GET", "/Config.Get", timeout=timeout)
            self.record("read at %s answered %s (%d bytes)" % (target.name, status, len(answer)))
            if status == 200:
                return json.loads(answer)
            self.turn += 1
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None

    def storms(self, storms, added_routes, acked):
        """Plays storms of changes; each has at most twelve, 0.33 s apart and one after the other's
        ack, within four seconds, and a second of rest. Returns the newest acknowledged version and
        the number of changes that were acknowledged."""
        self.record("a configuration has %d routes, %d bytes" %
                    (added_routes + 4, len(configuration(acked, added_routes))))
        changes = 0
        for _ in range(storms):
            end = time.monotonic() + 4
            for i in range(12):
                began = time.monotonic()
                if began >= end:
                    break
                version = acked + 1 + i % 3
                if self.order("/Config.Put", configuration(version, added_routes), 12, 4) != 200:
                    self.record("version %d has no ack within 12 s" % version)
                    return acked, changes
                acked, changes = version, changes + 1
                time.sleep(max(0, began + 0.33 - time.monotonic()))
            time.sleep(1)
        self.record("newest acknowledged version: %d, after %d changes" % (acked, changes))
        return acked, changes


class Runner:
    """A sound plain runner: announces itself, reads each request in full, works on it for some
    milliseconds and answers with the proof and the request's id."""

    def __init__(self, fleet, record, name, service, zone, host, work_s=0.02, slots=6):
        self.fleet, self.record, self.name, self.service = fleet, record, name, service
        self.zone, self.work_s, self.slots = zone, work_s, slots
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind(("%s.%d" % (fleet.net, host), 0))
        self.server.listen(256)
        self.address = "%s:%d" % self.server.getsockname()
        self.runs = {}
        self.lock = threading.Lock()
        self.slot = threading.Semaphore(slots)
        self.sequence, self.open = 0, True
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def _announce(self):
        turn = random.randrange(5)
        while self.open:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "warmupLeftMs": 0,
                "sequence": self.sequence})
            for _ in range(len(self.fleet.controls)):
                target = self.fleet.controls[turn % len(self.fleet.controls)]
                if call(target.ip, CONTROL, "POST", "/Instances.Heartbeat/" + self.name, body)[0] == 200:
                    break
                turn += 1
            time.sleep(1.2)

    def _accept(self):
        while self.open:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                line = stream.readline()
                if not line:
                    return
                method, path, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = stream.readline()
                    if line in (b"\r\n", b""):
                        break
                    key, value = line.decode("latin-1").split(":", 1)
                    headers[key.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = stream.read(length) if length else b""
                if len(body) < length:
                    return
                connection.sendall(self._answer(method, path, headers, body))
        except OSError:
            pass
        finally:
            connection.close()

    def _answer(self, method, path, headers, body):
        if path == "/healthz":
            return self._response(200, b"", {"X-Instance-Id": self.name})
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            return self._response(421, b"", {"X-Instance-Id": self.name})
        if not self.slot.acquire(timeout=1):
            return self._response(503, b"", {"X-Not-Executed": "1"})
        try:
            with self.lock:
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record("run %s %s at %s (%d bytes)" % (request_id, path, self.name, len(body)))
            time.sleep(self.work_s)
            return self._response(200, ("answer of " + request_id).encode(), {
                "X-Request-Id": request_id, "X-Response-Signature": "s." + request_id})
        finally:
            self.slot.release()

    @staticmethod
    def _response(status, body, headers):
        head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
        head += "".join("%s: %s\r\n" % h for h in headers.items())
        return head.encode() + b"\r\n" + body

    def close(self):
        self.open = False
        self.server.close()

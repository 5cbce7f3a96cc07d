"""Callers take resumable streams up again after the servers of their version were restarted in turn under their ids."""
import http.client
import os
import random
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-3"))
import fleet as stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 60
NEW_STREAMS = 40
EVENTS, EVENT_GAP_S = 240, 0.05
DEADLINE_S = 15
# drainMs is 3 s, lagMs 0.8 s.
DRAIN_S, DOWN_S, LIST_LAG_S = 3.5, 1.0, 0.8
# Pauses before a caller's tries after its connection broke; a Retry-After is honoured too.
PAUSES_S = [0.2, 1, 2]
# From the rule: "12 or more streams", "under half of the share of new streams that begin".
MIN_STREAMS, MIN_FRACTION = 12, 0.5


class ModelServer(stand_ins.Server):
    """Streams events, and goes on after Last-Event-Id. May be restarted: it leaves, ends, and serves again under its id."""

    version, is_leaving, is_down, life = "v1", False, False, 0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.states = []

    def entry(self):
        """As the list shows it, which lags."""
        seen = [state for at, state in self.states if at <= time.monotonic() - LIST_LAG_S]
        return {**super().entry(), "version": self.version, "state": seen[-1] if seen else "ready"}

    def answer(self, request, handler):
        life = self.life
        if self.is_down:
            return False
        if request["target"] == "/healthz" or request["headers"].get("briarhitch-expect-instance") != self.name:
            return super().answer(request, handler)
        start = int(request["headers"].get("last-event-id") or 0)
        self.fleet.record.write(f"server {self.name} ({self.version}{', leaving' if self.is_leaving else ''}) runs {request['id']} from event {start}")
        leaving = "Server-Leaving: 1\r\n" if self.is_leaving else ""
        handler.wfile.write((f"HTTP/1.1 200 OK\r\nBriarhitch-Request-Id: {request['id']}\r\nBriarhitch-Response-Stamp: {self.name}.{request['id']}\r\n{leaving}"
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        last = EVENTS if request["target"] != "/query/short" else start + 5
        for number in range(start + 1, last + 1):
            time.sleep(EVENT_GAP_S)
            if self.is_down or life != self.life:
                handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                os.close(handler.connection.detach())
                return False
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            handler.wfile.write(hex(len(event))[2:].encode() + b"\r\n" + event + b"\r\n")
        handler.wfile.write(b"0\r\n\r\n")
        return not leaving

    def restart(self):
        self.is_leaving = True
        self.states.append((time.monotonic(), "draining"))
        self.fleet.record.write(f"server {self.name} leaves: draining on the list, and Server-Leaving in its answers")
        time.sleep(DRAIN_S)
        self.is_down, self.life = True, self.life + 1
        self.fleet.record.write(f"server {self.name} ends")
        time.sleep(DOWN_S)
        self.is_down, self.is_leaving = False, False
        self.states.append((time.monotonic(), "ready"))
        self.fleet.record.write(f"server {self.name} serves again under its id, ready on the list")


class Attempt:
    def __init__(self, fleet, front, deadline_s, resumes=None, last=0, path="/query/1"):
        self.path = path
        self.fleet, self.front, self.id, self.resumes, self.last = fleet, front, stand_ins.new_id(), resumes, last
        self.sent_at, self.status, self.retry_after, self.events, self.is_whole = None, None, 1.0, 0, False
        self.deadline_s = deadline_s

    def run(self, until=None):
        extra = f"Briarhitch-Model: m\r\nBriarhitch-Token-Count: 100,1440\r\nBriarhitch-Prefix-Hash: a1:60,{random.getrandbits(28):x}:40\r\n"
        if self.resumes:
            extra += f"Last-Event-Id: {self.last}\r\nResumes: {self.resumes}\r\n"
        self.sent_at = time.monotonic()
        self.fleet.record.write(f"caller sends {self.id} to front-{self.front}" + (f", which takes up {self.resumes} after event {self.last}" if self.resumes else ""))
        try:
            with socket.create_connection((self.fleet.host(self.front), self.fleet.CALLERS), timeout=1) as connection:
                connection.settimeout(3)
                connection.sendall(stand_ins.request_bytes("POST", self.path, self.id, "key", int(self.deadline_s * 1000), b"question", extra=extra))
                response = http.client.HTTPResponse(connection, method="POST")
                response.begin()
                self.status = response.status
                self.read(response, until)
        except (OSError, http.client.HTTPException) as error:
            self.fleet.record.write(f"caller {self.id}: {type(error).__name__}")
        self.fleet.record.write(f"caller {self.id}: status {self.status}, {self.events} new events, last {self.last}")
        return self

    def read(self, response, until):
        if self.status != 200:
            self.retry_after = float(response.getheader("Retry-After") or 1)
            self.fleet.record.write(f"caller {self.id}: {response.read()[:110]!r}")
            return
        buffer = b""
        while not until or time.monotonic() < until:
            data = response.read1(4096)
            if not data:
                self.is_whole = True
                return
            buffer += data
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                self.last = int(event.split(b"\n")[0][4:])
                self.events += 1


class Caller(threading.Thread):
    """Begins a stream at front 51, whose connection ends at `leaves_at` at the latest, and takes it up at front 52 from `returns_at` on."""

    def __init__(self, fleet, leaves_at, returns_at):
        super().__init__(daemon=True)
        self.fleet, self.leaves_at, self.returns_at, self.tries = fleet, leaves_at, returns_at, []

    def run(self):
        begun = time.monotonic()
        first = Attempt(self.fleet, 51, DEADLINE_S).run(self.leaves_at)
        self.first = first
        last = first.last
        if first.status != 200 or not last or first.is_whole:
            return
        time.sleep(max(0, self.returns_at - time.monotonic()))
        for pause in PAUSES_S:
            left = begun + DEADLINE_S - time.monotonic()
            time.sleep(max(pause, min(self.tries[-1].retry_after, left / 3)) if self.tries else pause)
            left = begun + DEADLINE_S - time.monotonic()
            attempt = Attempt(self.fleet, 52, left, first.id, last).run(time.monotonic() + 2)
            self.tries.append(attempt)
            if attempt.events > 0:
                return


def ask_shortly(fleet, count):
    threads = [threading.Thread(target=Attempt(fleet, 51 + n % 2, DEADLINE_S, path="/query/short").run, daemon=True) for n in range(count)]
    for thread in threads:
        thread.start()


def play(fleet):
    for i in range(4):
        server = ModelServer(fleet, f"i-model-{i}", "llm", fleet.host(100 + i), fleet.SERVICE, 60)
        server.version = "v1" if i < 2 else "v2"
        fleet.servers.append(server)
    fleet.start_all()
    routes = [stand_ins.route("query", "/query/", "streaming", "llm", maxAttempts=2, resumable=True, sticky=True, gapTargetMs=250)]
    tenants = [{"name": "harbour", "apiKeys": ["key"], "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}]
    if fleet.put(stand_ins.config(7, routes, [stand_ins.model_service("llm", 60)], tenants)) != 200 or not fleet.wait_ready():
        return None
    time.sleep(4)

    def restart(server):
        if TROUBLE:
            thread = threading.Thread(target=server.restart, daemon=True)
            thread.start()
            return thread
        return None

    first = restart(fleet.servers[0])
    time.sleep(0.1)
    ask_shortly(fleet, 24)
    time.sleep(DRAIN_S + DOWN_S + 2.0)
    ends_at = time.monotonic() + 1.0 + DRAIN_S
    returns_at = ends_at + DOWN_S + 2.5
    callers = [Caller(fleet, ends_at + 0.2, returns_at) for _ in range(STREAMS)]
    for caller in callers:
        caller.start()
    time.sleep(1.0)
    second = restart(fleet.servers[1])
    time.sleep(0.1)
    ask_shortly(fleet, 24)
    time.sleep(max(0, returns_at + 0.2 - time.monotonic()))
    new = [Attempt(fleet, 52, DEADLINE_S) for _ in range(NEW_STREAMS)]
    threads = [threading.Thread(target=attempt.run, args=(time.monotonic() + 1,), daemon=True) for attempt in new]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for caller in callers:
        caller.join(DEADLINE_S)
    assert first is None or not first.is_alive() and not second.is_alive()
    began_at = {}
    with open(os.path.join(HERE, "record.txt"), encoding="utf-8") as record:
        for line in record:
            if " runs " in line and "from event 0" in line:
                began_at[line.split(" runs ")[1].split()[0]] = "v1" if "(v1" in line else "v2"
    taken_up = [caller.tries for caller in callers if caller.tries and began_at.get(caller.first.id) == "v1"]
    went_on = sum(any(attempt.events > 0 for attempt in tries) for tries in taken_up)
    begun = sum(attempt.events > 0 for attempt in new)
    fleet.record.write(f"streams of v1 taken up again: {len(taken_up)}, of these went on: {went_on}; new streams: {len(new)}, begun: {begun}")
    if len(taken_up) < MIN_STREAMS or begun == 0:
        return None
    return went_on / len(taken_up) < MIN_FRACTION * begun / len(new)


def main():
    fleet = stand_ins.Fleet(stand_ins.Record(os.path.join(HERE, "record.txt")), cores=3, fronts=2, tolerate=1)
    try:
        is_broken = play(fleet)
    finally:
        fleet.stop()
    if is_broken is None:
        fleet.record.write("the case could not run")
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)

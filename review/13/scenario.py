"""Callers take resumable streams up again after an entry and the owner of their pool were killed at the same moment."""
import http.client
import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
import fleet as stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 24
NEW_STREAMS = 24
EVENTS, EVENT_GAP_S = 240, 0.05
DEADLINE_S = 15
STABILITY_WINDOW_S = stand_ins.BOUNDS["stabilityWindowMs"] / 1000
# Pauses before a caller's tries after its connection broke; a Retry-After is honoured too.
PAUSES_S = [0.3, 1, 2, 4]
# From the rule: "12 or more streams", "under half of the share of new streams that begin".
MIN_STREAMS, MIN_FRACTION = 12, 0.5


class ModelServer(stand_ins.Server):
    """Streams events, and goes on after Last-Event-Id; each software version writes other text."""

    version = "v1"

    def entry(self):
        return {**super().entry(), "version": self.version}

    def answer(self, request, handler):
        if request["target"] == "/healthz" or request["headers"].get("briarhitch-expect-instance") != self.name:
            return super().answer(request, handler)
        start = int(request["headers"].get("last-event-id") or 0)
        self.fleet.record.write(f"server {self.name} ({self.version}) runs {request['id']} from event {start}")
        handler.wfile.write((f"HTTP/1.1 200 OK\r\nBriarhitch-Request-Id: {request['id']}\r\nBriarhitch-Response-Stamp: {self.name}.{request['id']}\r\n"
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(start + 1, EVENTS + 1):
            time.sleep(EVENT_GAP_S)
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            handler.wfile.write(hex(len(event))[2:].encode() + b"\r\n" + event + b"\r\n")
        handler.wfile.write(b"0\r\n\r\n")
        return True


class Attempt:
    def __init__(self, fleet, front, deadline_s, resumes=None, last=0):
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
                connection.sendall(stand_ins.request_bytes("POST", "/query/1", self.id, "key", int(self.deadline_s * 1000), b"question", extra=extra))
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
    """Begins a stream at front 51, which breaks at `breaks_at`, and takes it up at the others."""

    def __init__(self, fleet, number, breaks_at):
        super().__init__(daemon=True)
        self.fleet, self.number, self.breaks_at, self.tries = fleet, number, breaks_at, []

    def run(self):
        begun = time.monotonic()
        first = Attempt(self.fleet, 51, DEADLINE_S).run(None if TROUBLE else self.breaks_at)
        last = first.last
        if first.status != 200 or not last or first.is_whole:
            return
        for number, pause in enumerate(PAUSES_S):
            left = begun + DEADLINE_S - time.monotonic()
            wait = max(pause, min(self.tries[-1].retry_after, left / 3)) if self.tries else pause
            time.sleep(wait)
            left = begun + DEADLINE_S - time.monotonic()
            attempt = Attempt(self.fleet, 52 + (self.number + number) % 2, left, first.id, last).run()
            self.tries.append(attempt)
            last = attempt.last
            if attempt.status == 200:
                return


def owner_of_pool(fleet):
    """The core machine whose pools process owns the model pool."""
    for number in range(1, fleet.cores + 1):
        with open(os.path.join(fleet.folder, f"pools-{number}.log"), encoding="utf-8", errors="replace") as log:
            if "Taking over pool model:llm" in log.read():
                return number
    return None


def play(fleet):
    for i in range(4):
        server = ModelServer(fleet, f"i-model-{i}", "llm", fleet.host(100 + i), fleet.SERVICE, 12)
        server.version = "v1" if i < 2 else "v2"
        fleet.servers.append(server)
    fleet.start_all()
    routes = [stand_ins.route("query", "/query/", "streaming", "llm", maxAttempts=2, resumable=True, sticky=True, gapTargetMs=250)]
    tenants = [{"name": "harbour", "apiKeys": ["key"], "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}]
    if fleet.put(stand_ins.config(7, routes, [stand_ins.model_service("llm")], tenants)) != 200 or not fleet.wait_ready():
        return None
    time.sleep(4)
    breaks_at = time.monotonic() + 2.5
    callers = [Caller(fleet, n, breaks_at) for n in range(STREAMS)]
    for caller in callers:
        caller.start()
    time.sleep(max(0, breaks_at - time.monotonic()))
    stable_at = breaks_at
    owner = owner_of_pool(fleet)
    if owner is None:
        return None
    if TROUBLE:
        killed = ["front-51", f"control-{owner}", f"pools-{owner}"]
        for name in killed:
            fleet.processes[name].kill()
        for name in killed:
            fleet.processes[name].wait()
        fleet.record.write(f"killed at the same moment: {', '.join(killed)}")
        time.sleep(0.5)
        for name in killed:
            fleet.start(name)
        fleet.record.write("the killed processes start again")
        stable_at = time.monotonic() + STABILITY_WINDOW_S
    time.sleep(max(0, stable_at + 0.5 - time.monotonic()))
    new = [Attempt(fleet, 52 + n % 2, DEADLINE_S) for n in range(NEW_STREAMS)]
    threads = [threading.Thread(target=attempt.run, args=(time.monotonic() + 1,), daemon=True) for attempt in new]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for caller in callers:
        caller.join(DEADLINE_S)
    taken_up = [caller.tries for caller in callers if caller.tries]
    # Only what was sent while the entry was in touch counts; a stream counts once, and goes on if one of these tries does.
    counted = [[attempt for attempt in tries if attempt.sent_at >= stable_at] for tries in taken_up] if TROUBLE else taken_up
    counted = [tries for tries in counted if tries]
    went_on = sum(any(attempt.events > 0 for attempt in tries) for tries in counted)
    begun = sum(attempt.events > 0 for attempt in new)
    early = sum(any(attempt.events > 0 for attempt in tries) for tries in taken_up)
    fleet.record.write(f"streams taken up again at entries in touch: {len(counted)}, of these went on: {went_on} (went on at any time: {early} of {len(taken_up)}); new streams: {len(new)}, begun: {begun}")
    if len(counted) < MIN_STREAMS:
        # All that went on before the entries were in touch are not taken up again.
        return False if early == len(taken_up) and len(taken_up) >= MIN_STREAMS else None
    return went_on / len(counted) < MIN_FRACTION * begun / len(new)


def main():
    fleet = stand_ins.Fleet(stand_ins.Record(os.path.join(HERE, "record.txt")), cores=3, fronts=3, tolerate=1)
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

"""Callers take resumable streams up again after a new configuration has moved weight between the services of their route."""
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
STREAMS = 40
NEW_STREAMS = 40
EVENTS, EVENT_GAP_S = 240, 0.05
DEADLINE_S = 15
CONFIG_APPLY_S = stand_ins.BOUNDS["configApplyMs"] / 1000
# Pauses before a caller's tries after its connection broke; a Retry-After is honoured too.
PAUSES_S = [0.2, 1, 2]
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
    """Begins a stream at front 51, leaves that connection at `leaves_at`, and takes the stream up at front 52."""

    def __init__(self, fleet, leaves_at):
        super().__init__(daemon=True)
        self.fleet, self.leaves_at, self.tries = fleet, leaves_at, []

    def run(self):
        begun = time.monotonic()
        first = Attempt(self.fleet, 51, DEADLINE_S).run(self.leaves_at)
        last = first.last
        if first.status != 200 or not last or first.is_whole:
            return
        for pause in PAUSES_S:
            left = begun + DEADLINE_S - time.monotonic()
            time.sleep(max(pause, min(self.tries[-1].retry_after, left / 3)) if self.tries else pause)
            left = begun + DEADLINE_S - time.monotonic()
            attempt = Attempt(self.fleet, 52, left, first.id, last).run(time.monotonic() + 3)
            self.tries.append(attempt)
            if attempt.events > 0:
                return


def configuration(version, weight_of_old):
    split = [{"service": "llm-old", "weight": weight_of_old}, {"service": "llm-new", "weight": 100 - weight_of_old}]
    route = stand_ins.route("query", "/query/", "streaming", "llm-old", maxAttempts=2, resumable=True, sticky=True, gapTargetMs=250, trafficSplit=split)
    del route["service"]
    tenants = [{"name": "harbour", "apiKeys": ["key"], "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}]
    return stand_ins.config(version, [route], [stand_ins.model_service("llm-old", 60), stand_ins.model_service("llm-new", 60)], tenants)


def play(fleet):
    # Two servers of v1 serve all the while, and their service keeps a weight in the route.
    for i, (service, version) in enumerate([("llm-old", "v1"), ("llm-old", "v1"), ("llm-new", "v2"), ("llm-new", "v3")]):
        server = ModelServer(fleet, f"i-model-{i}", service, fleet.host(100 + i), fleet.SERVICE, 60)
        server.version = version
        fleet.servers.append(server)
    fleet.start_all()
    if fleet.put(configuration(7, 95)) != 200 or not fleet.wait_ready():
        return None
    time.sleep(4)
    changes_at = time.monotonic() + 1.5
    leaves_at = changes_at + CONFIG_APPLY_S + 0.5
    callers = [Caller(fleet, leaves_at) for _ in range(STREAMS)]
    for caller in callers:
        caller.start()
    time.sleep(max(0, changes_at - time.monotonic()))
    if TROUBLE and fleet.put(configuration(9, 5)) != 200:
        return None
    time.sleep(max(0, leaves_at + 0.2 - time.monotonic()))
    new = [Attempt(fleet, 52, DEADLINE_S) for _ in range(NEW_STREAMS)]
    threads = [threading.Thread(target=attempt.run, args=(time.monotonic() + 1,), daemon=True) for attempt in new]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for caller in callers:
        caller.join(DEADLINE_S)
    taken_up = [caller.tries for caller in callers if caller.tries]
    went_on = sum(any(attempt.events > 0 for attempt in tries) for tries in taken_up)
    begun = sum(attempt.events > 0 for attempt in new)
    fleet.record.write(f"streams taken up again: {len(taken_up)}, of these went on: {went_on}; new streams: {len(new)}, begun: {begun}")
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

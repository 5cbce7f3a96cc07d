"""A stream without a length is moved to a faster server, and the answer of `POST /v1/kv-move` waits behind other moves."""
import json
import os
import threading
import time

import fleet as stand_ins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# How long the link of the slow server is taken by other moves before the copy of this run begins.
QUEUED_S = 1.5 if TROUBLE else 0.05
PLAN_EVENTS = 90
PATHS = {"/plan/warm": 12, "/plan/hold": 100, "/plan/long": PLAN_EVENTS}

record = stand_ins.Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


class Engine:
    """A model server whose streams have neither a length nor chunks: they end with their connection."""

    def __init__(self, fleet, name, number, event_s):
        self.name, self.event_s = name, event_s
        self.runs = {}
        self.handles = {}
        self.host, self.port = fleet.host(number), fleet.server_port
        self.server = stand_ins.HttpStandIn(self.host, self.port, self.handle)

    def entry(self):
        return {"id": self.name, "service": "llm", "address": "%s:%d" % (self.host, self.port), "zone": "recife-a", "version": "v1", "slots": 2,
                "state": "ready", "coldRemainingMs": 0, "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}]}

    def handle(self, request, connection):
        if request.target == "/v1/kv-move":
            return self.move(json.loads(request.body), connection)
        if request.headers.get("briarhitch-expect-instance", self.name) != self.name:
            stand_ins.send_answer(connection, 421, {"Briarhitch-Not-Run": "1"}, b"")
            return True
        return self.run(request, connection)

    def run(self, request, connection):
        number = request.headers["briarhitch-request-id"]
        first = int(request.headers.get("last-event-id", 0)) + 1
        source = request.headers.get("kv-from", "")
        record("%s: request %s arrives (%s)%s" % (self.name, number, request.target, ", goes on after event %d from %s" % (first - 1, source) if source else ""))
        run = {"stopped": threading.Event(), "ended": threading.Event(), "made": first - 1}
        self.runs[number] = run
        head = {"Content-Type": "text/event-stream", "Briarhitch-Request-Id": number, "Briarhitch-Response-Stamp": "stamp-" + self.name, "Connection": "close"}
        connection.sendall(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % item for item in head.items()) + "\r\n").encode())
        last = PATHS[request.target]
        try:
            while run["made"] < last and not run["stopped"].wait(self.event_s):
                run["made"] += 1
                connection.sendall(b"id: %d\ndata: %s\n\n" % (run["made"], b"x" * 40))
            record("%s: request %s %s after event %d of %d" % (self.name, number, "ends" if run["made"] == last else "stops", run["made"], last))
        except OSError:
            record("%s: request %s is dropped after event %d, its connection is closed" % (self.name, number, run["made"]))
        run["ended"].set()
        return False

    def move(self, order, connection):
        run = self.runs.get(order["id"])
        if not run or run["ended"].is_set():
            stand_ins.send_answer(connection, 404, {"Content-Type": "application/json"}, b"{}")
            return False
        # With "last" the run stops first, and its stream is closed without its end.
        run["stopped"].set()
        run["ended"].wait(2)
        record("%s: kv-move of request %s to %s, stopped after event %d; the copy waits %.2f s behind other moves" % (self.name, order["id"], order["target"], run["made"], QUEUED_S))
        time.sleep(QUEUED_S)
        stand_ins.send_answer(connection, 200, {"Content-Type": "application/json"}, json.dumps({"handle": "h-" + order["id"], "made": run["made"]}).encode())
        record("%s: kv-move of request %s is answered 200" % (self.name, order["id"]))
        return False


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "r-plan", "host": "a.example", "pathPrefix": "/plan/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 0,
                    "service": "llm", "maxAttempts": 1, "public": False, "sticky": True, "resumable": False, "gapTargetMs": 250}],
        "services": [{"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False,
                      "engine": {"slots": 2, "kvCapacityTokens": 494091, "kvBytes": 163840, "linkMbps": 740000.0, "moves": True, "backups": True, "stride": 6,
                                 "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "harbour", "apiKeys": ["key-1"], "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 256497, "burst": 256497}],
    }


def request(fleet, number, path, answers):
    headers = {"Host": "a.example", "Briarhitch-Request-Id": number, "Briarhitch-Deadline-Ms": "15000", "X-Api-Key": "key-1", "Briarhitch-Model": "m",
               "Briarhitch-Token-Count": "600,%d" % (6 * PATHS[path]), "Briarhitch-Length-Hint": str(6 * PATHS[path]), "Briarhitch-Prefix-Hash": "5c1e07a2:60,%s:540" % number}
    answer = stand_ins.call(fleet.fronts[0], fleet.front_port, "POST", path, headers, b"prompt of " + number.encode(), 20)
    ids = stand_ins.event_ids(answer.body.decode())
    record("client: request %s got %d, %d events, %s" % (number, answer.status, len(ids), "ended as complete" if answer.isComplete else "broken off"))
    answers[number] = (answer, ids, PATHS[path])


def send(fleet, path, count, answers, first):
    threads = [threading.Thread(target=request, args=(fleet, "%016x" % (first + i), path, answers), daemon=True) for i in range(count)]
    for thread in threads:
        thread.start()
    return threads


def main():
    fleet = stand_ins.Fleet(record, cores=3, fronts=1, tolerated=1)
    try:
        instances = stand_ins.InstanceList(fleet)
        slow, fast = Engine(fleet, "i-slow", 101, 0.12), Engine(fleet, "i-fast", 102, 0.03)
        instances.show([slow.entry(), fast.entry()], at_once=True)
        fleet.start_all()
        if not fleet.put_configuration(configuration()) or not fleet.wait_ready():
            record("the deployment did not start")
            return 2
        time.sleep(2)
        answers = {}
        # The speeds of both servers are learned; then the fast one is busy while the long streams begin.
        for begin in (0x100, 0x110):
            for thread in send(fleet, "/plan/warm", 4, answers, begin):
                thread.join(20)
        holding = send(fleet, "/plan/hold", 2, answers, 0x200)
        time.sleep(0.5)
        long = send(fleet, "/plan/long", 2, answers, 0x300)
        for thread in holding + long:
            thread.join(25)
        broken = 0
        seen = 0
        for number, (answer, ids, last) in sorted(answers.items()):
            if answer.status != 200:
                continue
            seen += number.startswith("00000000000003")
            if answer.isComplete and ids != list(range(1, last + 1)):
                broken += 1
                record("ORDER: the stream of request %s ended as complete after event %d of %d" % (number, ids[-1] if ids else 0, last))
        if not seen or not any(run["stopped"].is_set() for run in slow.runs.values()):
            record("no long stream was moved: the case did not come about")
            return 2
        record("result: %d streams ended as complete before their last event" % broken)
        return 1 if broken else 0
    finally:
        fleet.stop()


stand_ins.run(main)

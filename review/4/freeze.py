"""Servers of two software versions serve. The machine of the pool's owner freezes for a moment, and the fronts choose servers
themselves. Then connections of clients are reset, and the clients take their streams up again."""
import os
import re
import signal
import socket
import threading
import time

import fleet as stand_ins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENT_S = 0.1
PATHS = {"/query/earlier": 120, "/query/new": 60}
SERVERS_OF_EACH_VERSION, SLOTS = 4, 4
FREEZE_S = 0.45
STREAMS = 4

record = stand_ins.Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), "a")


class Engine:
    """A model server. Its events name the version of its software; a stream goes on after Last-Event-Id."""

    def __init__(self, fleet, name, number, version):
        self.name, self.version = name, version
        self.host, self.port = fleet.host(number), fleet.server_port
        self.server = stand_ins.HttpStandIn(self.host, self.port, self.handle)

    def entry(self):
        return {"id": self.name, "service": "llm", "address": "%s:%d" % (self.host, self.port), "zone": "recife-a", "version": self.version, "slots": SLOTS,
                "state": "ready", "coldRemainingMs": 0, "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}]}

    def handle(self, request, connection):
        if request.headers.get("briarhitch-expect-instance", self.name) != self.name:
            stand_ins.send_answer(connection, 421, {"Briarhitch-Not-Run": "1"}, b"")
            return True
        number = request.headers["briarhitch-request-id"]
        made = int(request.headers.get("last-event-id", 0))
        record("%s (%s): request %s arrives%s" % (self.name, self.version, number, ", goes on after event %d" % made if made else ""))
        head = {"Content-Type": "text/event-stream", "Briarhitch-Request-Id": number, "Briarhitch-Response-Stamp": "stamp-" + self.name, "Transfer-Encoding": "chunked"}
        connection.sendall(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % item for item in head.items()) + "\r\n").encode())
        while made < PATHS[request.target]:
            time.sleep(EVENT_S)
            made += 1
            event = b"id: %d\ndata: %s\n\n" % (made, self.version.encode())
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "r-query", "host": "a.example", "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 0,
                    "service": "llm", "maxAttempts": 2, "public": False, "sticky": True, "resumable": True, "gapTargetMs": 250}],
        "services": [{"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False,
                      "engine": {"slots": SLOTS, "kvCapacityTokens": 494091, "kvBytes": 163840, "linkMbps": 740000.0, "moves": False, "backups": True, "stride": 6,
                                 "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "harbour", "apiKeys": ["key-1"], "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 256497, "burst": 256497}],
    }


class Stream:
    """A client's stream: its events over all tries."""

    def __init__(self, fleet, number, path):
        self.fleet, self.number, self.path = fleet, number, path
        self.text = ""
        self.tries = 0
        self.isComplete = False

    def request(self, answer_limit_s, reset_after_s=None):
        ids = stand_ins.event_ids(self.text)
        headers = {"Host": "a.example", "Briarhitch-Request-Id": "%015x%x" % (self.number, self.tries), "Briarhitch-Deadline-Ms": "15000", "X-Api-Key": "key-1",
                   "Briarhitch-Model": "m", "Briarhitch-Token-Count": "600,%d" % (6 * PATHS[self.path]), "Briarhitch-Length-Hint": str(6 * PATHS[self.path]),
                   "Briarhitch-Prefix-Hash": "5c1e07a2:60,%x:540" % self.number, "Content-Length": "16"}
        if ids:
            headers["Last-Event-Id"] = str(ids[-1])
            headers["Resumes"] = "%015x0" % self.number
        self.tries += 1
        front = self.fleet.fronts[self.number % len(self.fleet.fronts)]
        try:
            with socket.create_connection((front, self.fleet.front_port), timeout=1) as connection:
                connection.settimeout(answer_limit_s)
                connection.sendall(("POST %s HTTP/1.1\r\n" % self.path + "".join("%s: %s\r\n" % item for item in headers.items()) + "\r\n").encode() + b"prompt %09x" % self.number)
                stream = connection.makefile("rb")
                status, answered = stand_ins.read_head(stream)
                if not status or status.split()[1] != "200":
                    record("client: request %s got %s" % (headers["Briarhitch-Request-Id"], status))
                    return
                reset_at = time.monotonic() + reset_after_s if reset_after_s else None
                while not reset_at or time.monotonic() < reset_at:
                    line = stream.readline()
                    if not line:
                        break
                    size = int(line, 16)
                    if size == 0:
                        self.isComplete = True
                        break
                    self.text += stream.read(size).decode()
                    stream.read(2)
                if reset_at and not self.isComplete:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except (OSError, ValueError) as error:
            record("client: request %s: %s" % (headers["Briarhitch-Request-Id"], error))
        versions = re.findall(r"^data: (\w+)$", self.text, flags=re.M)
        record("client: request %s %s; events so far: %s" % (headers["Briarhitch-Request-Id"], "is complete" if self.isComplete else "was broken off", ", ".join("%d of %s" % (versions.count(version), version) for version in sorted(set(versions)))))

    def versions(self):
        return set(re.findall(r"^data: (\w+)$", self.text, flags=re.M))


def run_stream(stream):
    stream.request(20, reset_after_s=1.5 if TROUBLE else None)
    if not stream.isComplete:
        time.sleep(0.2)
        stream.request(20)


def owner_of_pool(fleet):
    for core in fleet.cores:
        if "Granting requests for pool model:llm@" in fleet.log_of("pools", core):
            return core
    return None


def main():
    fleet = stand_ins.Fleet(record, cores=3, fronts=2, tolerated=1)
    try:
        instances = stand_ins.InstanceList(fleet)
        older = [Engine(fleet, "i-old-%d" % i, 101 + i, "v1") for i in range(SERVERS_OF_EACH_VERSION)]
        newer = [Engine(fleet, "i-new-%d" % i, 121 + i, "v2") for i in range(SERVERS_OF_EACH_VERSION)]
        instances.show([engine.entry() for engine in older], at_once=True)
        fleet.start_all()
        if not fleet.put_configuration(configuration()) or not fleet.wait_ready():
            record("the deployment did not start")
            return 2
        time.sleep(2)
        # Each older server has two long streams when the newer servers join.
        earlier = [Stream(fleet, 0x100 + i, "/query/earlier") for i in range(2 * SERVERS_OF_EACH_VERSION)]
        threads = [threading.Thread(target=stream.request, args=(20,), daemon=True) for stream in earlier]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        instances.show([engine.entry() for engine in older + newer])
        time.sleep(2.5)
        owner = owner_of_pool(fleet)
        if not owner:
            record("no owner of the pool was found")
            return 2
        if TROUBLE:
            record("the machine of the pool's owner freezes for %.2f s" % FREEZE_S)
            fleet.signal("pools", owner, signal.SIGSTOP)
            fleet.signal("control", owner, signal.SIGSTOP)
        frozen_at = time.monotonic()
        streams = [Stream(fleet, 0x200 + i, "/query/new") for i in range(STREAMS)]
        threads += [threading.Thread(target=run_stream, args=(stream,), daemon=True) for stream in streams]
        for thread in threads[-STREAMS:]:
            thread.start()
        time.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
        if TROUBLE:
            fleet.signal("pools", owner, signal.SIGCONT)
            fleet.signal("control", owner, signal.SIGCONT)
            record("it wakes")
        for thread in threads:
            thread.join(25)
        resumed = [stream for stream in streams if stream.tries > 1]
        mixed = [stream for stream in earlier + streams if len(stream.versions()) > 1]
        if TROUBLE and not any(stream.versions() for stream in resumed):
            record("no stream was taken up again: the case did not come about")
            return 2
        record("result: %d streams hold events of two software versions (more than two break ORDER)" % len(mixed))
        return 1 if len(mixed) > 2 else 0
    finally:
        fleet.stop()


stand_ins.run(main)

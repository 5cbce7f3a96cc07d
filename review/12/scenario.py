"""Requests with a prompt part that crashes the servers that begin to write an answer on it: some at once, some after seconds."""
import http.client
import json
import os
import random
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
import fleet as stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 90
DEADLY_PART = "dead0001"
SERVERS, DOWN_S, LIST_LAG_S = 4, 2, 0.8
EVENT_GAP_S, SOUND_EVENTS = 0.05, 10
# Events that a server writes on an answer with the part before it crashes, drawn anew for each: some crash it at once, some after 3 s.
EVENTS_BEFORE_CRASH = [int(text) for text in os.environ.get("EVENTS_BEFORE_CRASH", "1,60").split(",")]
# A sound request comes every 0.05 s; of these steps, one with the part.
DEADLY_EVERY = int(os.environ.get("DEADLY_EVERY", "20"))
STABILITY_WINDOW_S = stand_ins.BOUNDS["stabilityWindowMs"] / 1000
# From the rule: "more than three requests ... after the fifth crash".
ALLOWED, CRASHES = 3, 5


class ModelServer(stand_ins.Server):
    """Streams events; crashes as a process does: its connections are reset, its port refuses, and it returns under a new id."""

    def __init__(self, *arguments):
        self.connections, self.life, self.born, self.lock, self.is_down = set(), 0, int(time.time() * 1000), threading.Lock(), False
        super().__init__(*arguments)

    def entry(self):
        return {**super().entry(), "born": self.born}

    def serve_one(self, handler):
        self.connections.add(handler.connection)
        return not self.is_down and super().serve_one(handler)

    def answer(self, request, handler):
        if self.is_down:
            return False
        if request["target"] == "/healthz" or request["headers"].get("briarhitch-expect-instance") != self.name:
            return super().answer(request, handler)
        is_deadly = DEADLY_PART in request["headers"].get("briarhitch-prefix-hash", "")
        events = SOUND_EVENTS
        if is_deadly:
            events = random.choice(EVENTS_BEFORE_CRASH)
            self.fleet.reached.append(time.monotonic())
            self.fleet.record.write(f"request {request['id']} with the part reaches server {self.name}")
        life = self.life
        handler.wfile.write((f"HTTP/1.1 200 OK\r\nBriarhitch-Request-Id: {request['id']}\r\nBriarhitch-Response-Stamp: {self.name}.{request['id']}\r\n"
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            handler.wfile.write(hex(len(event))[2:].encode() + b"\r\n" + event + b"\r\n")
            time.sleep(EVENT_GAP_S)
            if self.life != life:
                return False
        if is_deadly:
            self.crash(life)
            return False
        handler.wfile.write(b"0\r\n\r\n")
        return True

    def crash(self, life):
        with self.lock:
            if self.life != life:
                return
            self.life, self.is_down = self.life + 1, True
        self.fleet.crashes.append(time.monotonic())
        self.fleet.record.write(f"server {self.name} crashes (crash {len(self.fleet.crashes)})")
        self.listener.shutdown()
        self.listener.socket.close()
        connections, self.connections = self.connections, set()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                os.close(connection.detach())
            except OSError:
                pass
        threading.Thread(target=self.restart, daemon=True).start()

    def restart(self):
        time.sleep(DOWN_S)
        self.name, self.born = f"i-{random.getrandbits(32):08x}", int(time.time() * 1000)
        self.is_down = False
        self.listen()
        self.fleet.record.write(f"server {self.name} is back")


class Fleet(stand_ins.Fleet):
    """The list lags."""

    history = ()

    def list_body(self):
        now = time.monotonic()
        self.history = [*[old for old in self.history if old[0] > now - 5], (now, super().list_body())]
        return next((body for at, body in reversed(self.history) if at <= now - LIST_LAG_S), self.history[0][1])


def ask(fleet, is_deadly, counts):
    parts = ["00005000:20", (DEADLY_PART if is_deadly else "00005001") + ":20", f"{random.getrandbits(32):08x}:30"]
    request_id = stand_ins.new_id()
    extra = f"Briarhitch-Model: m\r\nBriarhitch-Token-Count: 70,60\r\nBriarhitch-Prefix-Hash: {','.join(parts)}\r\n"
    status, is_whole = None, False
    try:
        with socket.create_connection((fleet.host(51 + random.randrange(fleet.fronts)), fleet.CALLERS), timeout=1) as connection:
            connection.settimeout(9)
            connection.sendall(stand_ins.request_bytes("POST", "/chat/1", request_id, "key", 8000, random.randbytes(8).hex().encode(), extra=extra))
            response = http.client.HTTPResponse(connection, method="POST")
            response.begin()
            status = response.status
            response.read()
            is_whole = status == 200
    except (OSError, http.client.HTTPException):
        pass
    if is_deadly:
        fleet.record.write(f"caller: request {request_id} with the part gets status {status}")
    else:
        counts.append(is_whole)


def play(fleet):
    fleet.reached, fleet.crashes = [], []
    for i in range(SERVERS):
        fleet.servers.append(ModelServer(fleet, f"i-model-{i}", "llm", fleet.host(100 + i), fleet.SERVICE, 8))
    fleet.start_all()
    routes = [stand_ins.route("chat", "/chat/", "streaming", "llm", timeoutMs=8000, gapTargetMs=250, sticky=True)]
    tenants = [{"name": "harbour", "apiKeys": ["key"], "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}]
    if fleet.put(stand_ins.config(7, routes, [stand_ins.model_service("llm", 8)], tenants)) != 200 or not fleet.wait_ready():
        return None
    time.sleep(4)
    sound, end, turn = [], time.monotonic() + LENGTH_S, 0
    while time.monotonic() < end:
        threading.Thread(target=ask, args=(fleet, False, sound), daemon=True).start()
        if TROUBLE and turn % DEADLY_EVERY == 0:
            threading.Thread(target=ask, args=(fleet, True, sound), daemon=True).start()
        turn += 1
        time.sleep(0.05)
    time.sleep(4)
    late = [at for at in fleet.reached if len(fleet.crashes) >= CRASHES and at > fleet.crashes[CRASHES - 1] + STABILITY_WINDOW_S]
    fleet.record.write(f"servers crashed {len(fleet.crashes)} times; requests with the part that reached servers later than {STABILITY_WINDOW_S} s after the fifth crash: {len(late)}, allowed: {ALLOWED}; "
                       f"sound requests answered in full: {sum(sound)} of {len(sound)}")
    return None if not sum(sound) else len(late)


def main():
    fleet = Fleet(stand_ins.Record(os.path.join(HERE, "record.txt")), cores=3, fronts=2, tolerate=1)
    try:
        late = play(fleet)
    finally:
        fleet.stop()
    if late is None:
        fleet.record.write("the case could not run")
        return 2
    return 1 if late > ALLOWED else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)

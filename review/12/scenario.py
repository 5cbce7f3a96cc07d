"""Ordinary callers on kept connections, beside a crowd of callers with large bodies of legal size at the same entry."""
import http.client
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-3"))
import fleet as stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ANSWER_BYTES = 100_000
MAX_BODY_BYTES = 4_194_304
ORDINARY_CALLERS = 8
# From the rule: "more than three times".
ALLOWED = 3


class Shop(stand_ins.Server):
    """Answers each order at once, in full, with a document of 100 KB, and keeps its connections."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.answered = set()

    def answer(self, request, handler):
        if request["target"] == "/healthz" or request["headers"].get("briarhitch-expect-instance") != self.name:
            return super().answer(request, handler)
        self.fleet.record.write(f"server {self.name} runs {request['id']} {request['target']}")
        self.send(handler, request, 200, (b"done " + request["id"].encode()).ljust(ANSWER_BYTES, b"."))
        self.answered.add(request["id"])
        self.fleet.record.write(f"server {self.name} answered {request['id']} in full")
        return True


def archive(request, handler):
    """Takes its time over an upload."""
    time.sleep(6)
    return False


def ask(fleet, connection):
    """One order on a kept connection: its id, and whether a whole answer came."""
    request_id = stand_ins.new_id()
    fleet.record.write(f"ordinary caller sends {request_id} on its kept connection")
    try:
        connection.sendall(stand_ins.request_bytes("POST", "/order/1", request_id, "order-key", 5000, b"order"))
        response = http.client.HTTPResponse(connection, method="POST")
        response.begin()
        body = response.read()
        fleet.record.write(f"ordinary caller {request_id} gets {response.status}, {len(body)} bytes")
        return request_id, response.status
    except (OSError, http.client.HTTPException) as error:
        fleet.record.write(f"ordinary caller {request_id}: the connection ends without an answer ({type(error).__name__})")
        return request_id, None


def play(fleet):
    for i in range(3):
        fleet.servers.append(Shop(fleet, f"i-shop-{i}", "shop", fleet.host(100 + i), fleet.SERVICE, 6))
    for i in range(4):
        fleet.servers.append(stand_ins.Server(fleet, f"i-archive-{i}", "archive", fleet.host(110 + i), fleet.SERVICE, 20, archive))
    fleet.start_all()
    routes = [stand_ins.route("order", "/order/", "unsafe", "shop", timeoutMs=5000), stand_ins.route("upload", "/upload/", "unsafe", "archive")]
    tenants = [{"name": "harbour", "apiKeys": ["order-key"]}, {"name": "crowd", "apiKeys": ["crowd-key"]}]
    services = [stand_ins.plain_service("shop"), stand_ins.plain_service("archive")]
    if fleet.put(stand_ins.config(7, routes, services, tenants)) != 200 or not fleet.wait_ready():
        return None
    time.sleep(4)
    connections = []
    for _ in range(ORDINARY_CALLERS):
        connection = socket.create_connection((fleet.host(51), fleet.CALLERS), timeout=2)
        connection.settimeout(8)
        connections.append(connection)
        if ask(fleet, connection)[1] != 200:
            return None
    if TROUBLE:
        def upload(size):
            stand_ins.call(fleet, 51, "POST", "/upload/1", "crowd-key", 15000, b"u" * size)

        for _ in range(10):
            threading.Thread(target=upload, args=(MAX_BODY_BYTES,), daemon=True).start()
        time.sleep(1.5)
        for _ in range(40):
            threading.Thread(target=upload, args=(70_000,), daemon=True).start()
        time.sleep(1)
    lost = []
    for connection in connections:
        request_id, status = ask(fleet, connection)
        was_answered = any(request_id in server.answered for server in fleet.servers if isinstance(server, Shop))
        if status is None and was_answered:
            lost.append(request_id)
    for connection in connections:
        connection.close()
    time.sleep(8 if TROUBLE else 0)
    if fleet.ended():
        fleet.record.write(f"processes ended by themselves: {fleet.ended()}")
    fleet.record.write(f"orders that a sound server answered in full, and whose kept connection was closed without an answer: {len(lost)}; allowed: {ALLOWED}")
    return len(lost)


def main():
    fleet = stand_ins.Fleet(stand_ins.Record(os.path.join(HERE, "record.txt")), cores=3, fronts=2, tolerate=1)
    try:
        lost = play(fleet)
    finally:
        fleet.stop()
    if lost is None:
        fleet.record.write("the fleet did not serve: the case could not run")
        return 2
    return 1 if lost > ALLOWED else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from fleet import *

STABILITY_S = 3
BACK_AFTER_S = 2
PARTS = int(os.environ.get("PARTS", "3"))
# Place of the part that crashes servers, counted from 1; the last part belongs to the request itself.
POSITION = int(os.environ.get("POSITION", "2"))
LENGTH_S = 45
DEADLY = "dead0001"
# Events that a server writes before the part crashes it.
EVENTS = int(os.environ.get("EVENTS", "1"))


async def write_event(writer, number):
    event = b"id: %d\ndata: token\n\n" % number
    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    await writer.drain()


class Case:
    def fleet(self, folder):
        return Fleet(folder, fronts=2)

    def prefix(self, deadly):
        parts = ["%08x:20" % (0x5000 + i) for i in range(PARTS - 1)]
        if deadly:
            parts[POSITION - 1] = DEADLY + ":20"
        return ",".join(parts + ["%08x:30" % random.getrandbits(32)])

    async def serve(self, server, request, writer):
        identity = request.headers["briarhitch-request-id"]
        if DEADLY in request.headers["briarhitch-prefix-hash"]:
            self.reached.append((time.monotonic(), identity))
            server.fleet.record("request %s with the part reaches server %s" % (identity, server.id))
            await asyncio.sleep(0.03)
            if EVENTS:
                writer.write(head(200, server.headers(request) | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
            for number in range(1, EVENTS + 1):
                await write_event(writer, number)
                await asyncio.sleep(0.05)
            self.crashes.append(time.monotonic())
            server.fleet.record("server %s crashes (crash %d)" % (server.id, len(self.crashes)))
            server.crash()
            self.restarts.append(asyncio.create_task(self.restart(server)))
            return False
        await asyncio.sleep(0.03)
        writer.write(head(200, server.headers(request) | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(1, 11):
            await write_event(writer, number)
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def restart(self, server):
        await asyncio.sleep(BACK_AFTER_S)
        await server.restart()
        server.fleet.record("server %s is back" % server.id)

    async def client(self, fleet, deadly):
        identity, fields = fleet.request_headers(8000)
        fields |= {"Briarhitch-Model": "m", "Briarhitch-Token-Count": "%d,%d" % (20 * PARTS + 10, 20), "Briarhitch-Prefix-Hash": self.prefix(deadly)}
        try:
            status = (await call(fleet.front(random.randrange(2)), "POST", "/chat/a", fields, os.urandom(8).hex().encode())).status
        except (OSError, asyncio.IncompleteReadError):
            status = None
        if deadly:
            fleet.record("client: request %s with the part is answered %s" % (identity, status))
        else:
            self.sound[status == 200] += 1

    async def run(self, fleet, trouble):
        self.reached, self.crashes, self.restarts, self.sound = [], [], [], {True: 0, False: 0}
        for _ in range(4):
            await fleet.add_server("model", slots=8, answer=self.serve)
        await fleet.start()
        routes = [route("chat", "streaming", "model")]
        if not await fleet.put_config(routes, [model_service("model", 8)], 20) or not await fleet.wait_ready():
            return None
        await asyncio.sleep(STABILITY_S + 1)
        clients, end, turn = [], time.monotonic() + LENGTH_S, 0
        while time.monotonic() < end:
            clients.append(asyncio.create_task(self.client(fleet, False)))
            if trouble and turn % 20 == 0:
                clients.append(asyncio.create_task(self.client(fleet, True)))
            turn += 1
            await asyncio.sleep(0.05)
        await asyncio.gather(*clients)
        await asyncio.gather(*self.restarts)
        fleet.record("sound requests: %d answered in full, %d refused or cut off" % (self.sound[True], self.sound[False]))
        if not self.sound[True] or (trouble and len(self.crashes) < 5 and not self.reached):
            return None
        if len(self.crashes) < 5:
            return []
        late = [at for at, _ in self.reached if at > self.crashes[4] + STABILITY_S]
        fleet.record("%d servers crashed; %d requests with the part reached servers later than %d s after the fifth crash" % (len(self.crashes), len(late), STABILITY_S))
        return ["BUDGET broken: %d requests with a part that crashes servers reached servers later than stabilityWindowMs after the fifth crash" % len(late)] if len(late) > 3 else []


main(Case())

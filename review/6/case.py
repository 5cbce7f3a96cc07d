import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from fleet import *

CATCH_UP_S = 4
RECOVER_S = 12
STABILITY_S = 3
# Time from the SIGTERM of the replaced machine to the loss of two disks.
DELAY_S = float(os.environ.get("DELAY_S", "0.5"))
REQUESTS = 40


class Case:
    def fleet(self, folder):
        return Fleet(folder, controls=5)

    async def find_leader(self, fleet):
        """The machine that answers a read of the configuration itself."""
        for _ in range(50):
            for ip in fleet.control_ips:
                try:
                    if (await call((ip, fleet.base + 2), "GET", "/v1/config", {}, host="control")).status == 200:
                        return ip
                except (OSError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(0.1)
        raise OSError("no machine answers a read of the configuration")

    async def serve_clients(self, fleet, count):
        served = 0
        for _ in range(count):
            identity, fields = fleet.request_headers(2500)
            try:
                status = (await call(fleet.front(), "GET", "/lookup/x", fields)).status
            except (OSError, asyncio.IncompleteReadError):
                status = None
            fleet.record("client: GET /lookup/x %s is answered %s" % (identity, status))
            served += status == 200
            await asyncio.sleep(0.05)
        return served

    async def run(self, fleet, trouble):
        await fleet.add_server("desk")
        await fleet.start()
        routes, services = [route("lookup", "safe", "desk")], [plain_service("desk")]
        if not await fleet.put_config(routes, services, 20) or not await fleet.wait_ready():
            return None
        await asyncio.sleep(STABILITY_S)
        before = await self.serve_clients(fleet, REQUESTS)

        # Planned work: the successor starts with an empty disk and has its time to catch up; then the old machine gets SIGTERM.
        successor = fleet.network + "6"
        fleet.start_role("control", successor)
        fleet.start_role("pools", successor)
        await asyncio.sleep(CATCH_UP_S + STABILITY_S)
        leader = await self.find_leader(fleet)
        removed = next(ip for ip in fleet.control_ips[3:] if ip != leader)
        fleet.stop_role("control-" + removed.split(".")[-1])
        fleet.stop_role("pools-" + removed.split(".")[-1])
        fleet.control_ips.remove(removed)
        fleet.control_ips.append(successor)
        fleet.record("%s is removed for good; %s leads" % (removed, leader))
        await asyncio.sleep(DELAY_S)

        acknowledged = await fleet.put_config(routes + [route("later", "safe", "desk")], services)
        if not acknowledged or acknowledged.status != 200:
            return None
        if trouble:
            # Two machines lose their disks, the one that acknowledged among them, and are back a second later.
            lost = [leader, next(ip for ip in fleet.control_ips if ip not in (leader, successor))]
            names = ["control-" + ip.split(".")[-1] for ip in lost]
            for name in names:
                fleet.stop_role(name, signal.SIGKILL)
            for name in names:
                fleet.lose_disk(name)
                fleet.record("%s has lost its disk" % name)
            await asyncio.sleep(1)
            for ip in lost:
                fleet.start_role("control", ip)
        await asyncio.sleep(RECOVER_S + CATCH_UP_S)

        broken = []
        read = await fleet.operate("GET", "/v1/config", limit=15)
        if read is None or json.loads(read.body).get("version") != fleet.version:
            broken.append("LOST, CONFIG broken: version %d was acknowledged, and a read of the configuration gives %s" % (fleet.version, json.loads(read.body).get("version") if read else "no answer for 15 s"))
        after = await self.serve_clients(fleet, REQUESTS)
        if before * 4 >= REQUESTS and after * 4 < REQUESTS:
            broken.append("RECOVER broken: %d of %d requests were served before the disruption, %d of %d later than recoverS after it" % (before, REQUESTS, after, REQUESTS))
        return broken


main(Case())

"""Three gateways that pass purges on to one another. Two overlapping purges of two thirds of the object groups are
accepted at one gateway; the others go on serving copies from before them."""
import asyncio
import json
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import gateway  # noqa: E402
import rig  # noqa: E402

NAMES = ["gateway-north", "gateway-east", "gateway-south"]
GROUPS = 256  # "the group of the object, 0 to 255"
PURGED = 170  # of 256: under "up to two thirds"
BETWEEN_S = 0.2
SLACK_S, GONE_S = 1.05, 6.0  # purgeSlackMs with 50 ms; goneEverywhereMs: until then caches may hold older copies


async def case(record, folder):
    copies = {}  # by path: when the origin gave the copy out; what was never asked for is an hour old
    old_since = time.monotonic() - 3600

    async def answer(server, request):
        control = request["fields"].get("cache-control", "")
        limits = [int(part.split("=")[1]) for part in control.replace(" ", "").split(",") if part.startswith("max-age=")]
        issued = copies.get(request["path"], old_since)
        if limits and time.monotonic() - issued > limits[0]:
            issued = copies[request["path"]] = time.monotonic()  # the oldest copy that will do is younger: fetched anew
        return 200, f"Age: {int(time.monotonic() - issued)}\r\n", b"copy"

    world = gateway.GatewayWorld(folder, answer)
    await world.start()
    datagrams = [rig.free_port(socket.SOCK_DGRAM) for _ in NAMES]
    doors = [rig.free_port() for _ in NAMES]

    def change(index):
        def apply(config):
            config["ops"] = f"{rig.HOST}:{doors[index]}"
            config["members"] = {"fleet": "bokabud", "listen": f"{rig.HOST}:{datagrams[index]}", "zone": "edge-1",
                                 "seeds": [f"{rig.HOST}:{port}" for port in datagrams]}
            config["leases"] = {"voters": NAMES, "purge": True, "length_ms": 2000}
        return apply

    gateways = [await world.add_gateway(name, change(index)) for index, name in enumerate(NAMES)]

    async def leases(index):
        reader, writer = await asyncio.open_connection(rig.HOST, doors[index])
        writer.write(b"leases\n")
        text = (await reader.read()).decode()
        writer.close()
        return text

    holder, end = None, time.monotonic() + 45
    while holder is None:  # one of them holds the lease `purge`, and all know it
        if time.monotonic() > end:
            raise RuntimeError("nobody holds the lease")
        await asyncio.sleep(0.1)
        texts = [await leases(index) for index in range(len(NAMES))]
        held = [index for index, text in enumerate(texts) if " holder " in text]
        if held and all(f"purge {NAMES[held[0]]} " in text for text in texts):
            holder = held[0]
    taker = (holder + 1) % len(NAMES)
    record.write(f"{NAMES[holder]} holds the lease, the operator purges at {NAMES[taker]}")
    purged_at = {}

    async def purge(groups):
        client = await gateway.WebClient(gateways[taker].port).connect()
        for group in groups:
            client.send("POST", "/-/purge", f"Authorization: Bearer {gateways[taker].operator_token}\r\n",
                        json.dumps({"group": f"estate-{group}"}).encode())
            status = (await client.response())[0]
            if status == 204:
                purged_at[group] = time.monotonic()
            else:
                record.write(f"purge of estate-{group}: {status}")
        client.close()
        record.write(f"purged groups {groups[0]} to {groups[-1]} of {GROUPS}, accepted with 204 so far: {len(purged_at)}")

    await purge(range(PURGED))
    if rig.TROUBLE:
        await asyncio.sleep(BETWEEN_S)
        await purge(range(GROUPS - PURGED, GROUPS))
    await asyncio.sleep(SLACK_S)
    stale = []

    async def fetch(index):
        client = await gateway.WebClient(gateways[index].port).connect()
        for group in sorted(purged_at):
            path = f"/scans/estate-{group}/{NAMES[index]}"
            asked = time.monotonic()
            client.send("GET", path)
            status, fields, _ = await client.response()
            since = asked - purged_at[group]
            if status == 200 and int(fields["age"]) > since + 1 and since < GONE_S:
                stale.append(path)
                record.write(f"{NAMES[index]}: GET {path} {since:.2f} s after the purge: 200, Age {fields['age']}: a copy "
                             "from before it")
        client.close()

    for index in range(len(NAMES)):
        await fetch(index)
    record.write(f"groups purged: {len(purged_at)}; copies from before their purge: {len(stale)}")
    for index, name in enumerate(NAMES):
        record.write(f"{name}: {(await leases(index)).splitlines()[1]}")
    print(f"purged {len(purged_at)} groups, copies from before the purge: {len(stale)}")
    return rig.BROKEN if stale else rig.HELD


rig.main(HERE, case)

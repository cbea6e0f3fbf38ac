"""Each client has two requests on its connection when the gateway gets SIGTERM. The first is answered; the second has
been read and is dropped with the connection."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import gateway  # noqa: E402
import rig  # noqa: E402

CLIENTS = 10
SERVER_S = 1.0  # what the cache takes for the first object; the class gives 6 s
TERM_AFTER_S = 0.3
LONGEST_DEADLINE_S = 6.0


async def case(record, folder):
    async def answer(server, request):
        record.write(f"{server.name}: {request['method']} {request['path']}")
        await asyncio.sleep(SERVER_S if request["path"].endswith("first") else 0.02)
        return 200, "Age: 0\r\n", request["path"].encode()

    world = gateway.GatewayWorld(folder, answer)
    await world.start()
    door = await world.add_gateway("gateway-north")
    lost = []

    async def ask(number):
        client = await gateway.WebClient(door.port).connect()
        paths = [f"/scans/estate-{number}/first", f"/scans/estate-{number}/second"]
        for path in paths:
            client.send("GET", path)
        record.write(f"client {number}: wrote GET {paths[0]} and GET {paths[1]}")
        for path in paths:
            try:
                status, _, body = await asyncio.wait_for(client.response(), LONGEST_DEADLINE_S + 0.55)
                record.write(f"client {number}: {path}: {status} {body.decode()}")
            except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as error:
                record.write(f"client {number}: {path}: no answer, {type(error).__name__}")
                lost.append(path)
        client.close()

    clients = [asyncio.ensure_future(ask(number)) for number in range(CLIENTS)]
    await asyncio.sleep(TERM_AFTER_S)
    if rig.TROUBLE:
        record.write("SIGTERM to the gateway")
        start = time.monotonic()
        door.signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    if rig.TROUBLE:
        await asyncio.wait_for(door.process.wait(), 10)
        record.write(f"the gateway ended with {door.process.returncode} after {time.monotonic() - start:.2f} s; SIGKILL "
                     "would come 3.7 s after SIGTERM at the earliest")
    print(f"requests without an answer: {len(lost)} of {2 * CLIENTS}")
    return rig.BROKEN if lost else rig.HELD


rig.main(HERE, case)

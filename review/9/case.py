"""One of two doormans is killed; its clients come to the other one, with fewer connections in all than a third of its
descriptors. The other one closes connections unread, with requests on them."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import rig  # noqa: E402

MEMORY_MB, SOCKETS = 64, 1024  # "the limits are at most 192 MB and 1,024 descriptors"
CLIENTS = 150  # at each doorman; 300 in all are fewer than a third of 1,024 descriptors
CACHES = 17
ANSWER_S = 0.5  # scans: "360 to 580 ms to send on average"
KILL_AT_S, FRONT_S, END_S = 3.0, 1.5, 9.0  # "Clients go on coming to a dead doorman for 0.87 to 3.9 s"
ALLOW_MS = 6000


async def answer(server, request, respond, reset):
    await asyncio.sleep(ANSWER_S)
    respond("OK", f"entity=e1,issued={int(time.time() * 1000)},detail=local", b"v" * 1000)


async def case(record, folder):
    servers = [rig.Server(f"s-{i}", "box", answer) for i in range(CACHES)]
    servers += [rig.Server("p-1", "up", answer), rig.Server("o-1", "store", answer)]
    site = rig.settings([("scans", "repeatable", ALLOW_MS, 5000, False)])
    world = rig.World(folder, servers, site, memory_mb=MEMORY_MB, sockets=SOCKETS)
    await world.start()
    first = world.changelog.events[0]
    other = rig.Doorman(folder, {
        "seed": "1c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "changelog": world.changelog.address, "known": {"seq": 1, "results": [first]}, "settings": site}, name="n1")
    await other.start()
    await rig.wait_until_healthy(other.port)
    start = time.monotonic()
    dead_at = None
    answers, lost, open_connections = {}, [], set()
    most = 0

    async def run_client(number, home):
        """Keeps one request open. Its connection ended without an answer: lost, if the doorman lives and had the
        request for over 50 ms or the connection was new; on an old connection the request is sent once more."""
        nonlocal most
        port, sequence, connection, is_new = home, 0, None, True
        while time.monotonic() - start < END_S:
            if connection is None or connection.is_ended:
                if connection is not None:
                    open_connections.discard(connection)
                if dead_at and home == other.port and time.monotonic() >= dead_at + FRONT_S:
                    port = world.doorman.port
                try:
                    connection, is_new = await rig.Client(port).connect(), True
                except OSError:
                    connection = None
                    await asyncio.sleep(0.2)
                    continue
                if port == world.doorman.port:
                    open_connections.add(connection)
                    most = max(most, len(open_connections))
            sequence += 1
            reference = f"{number:08x}{sequence:08x}"
            sent_at = time.monotonic()
            _, waiter = connection.send("scans", f"ref={reference},allow={ALLOW_MS},lookup={reference},block=0,family=1,"
                                        "room=2000")
            try:
                word = (await asyncio.wait_for(waiter, ALLOW_MS / 1000 + 0.55))[0]
                answers[word] = answers.get(word, 0) + 1
                is_new = False
                if word == "later":
                    await asyncio.sleep(2)
            except (ConnectionError, asyncio.TimeoutError) as error:
                age = time.monotonic() - sent_at
                if port == other.port and dead_at:
                    continue  # what a killed doorman held is the client's to repeat
                if is_new or age > 0.05:
                    lost.append(reference)
                    record.write(f"client {number}: request {reference} on a {'new' if is_new else 'used'} connection: "
                                 f"{type(error).__name__} after {age * 1000:.1f} ms, no answer: lost")
                await asyncio.sleep(0.2)
        if connection is not None:
            connection.close()

    clients = [asyncio.ensure_future(run_client(number, world.doorman.port if number % 2 else other.port))
               for number in range(2 * CLIENTS)]
    await asyncio.sleep(KILL_AT_S)
    if rig.TROUBLE:
        record.write("SIGKILL to the doorman n1; its clients come to n0 later")
        dead_at = time.monotonic()
        other.process.kill()
    await asyncio.gather(*clients)
    record.write(f"answers {answers}; most client connections at n0 at once: {most}, a third of its descriptors: "
                 f"{SOCKETS // 3}; requests lost: {len(lost)}")
    print(f"answers {answers}, most connections {most}, lost {len(lost)}")
    return rig.BROKEN if lost else rig.HELD


rig.main(HERE, case)

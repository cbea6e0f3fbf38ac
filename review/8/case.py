"""40 clients keep up to 32 reads open and read 1 MB a second each. The platform's stand-in kills the doorman once its
resident memory is over `memory_mb`, as the deployment page says."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import rig  # noqa: E402

MEMORY_MB, SOCKETS = 64, 1024  # "the limits are at most 192 MB and 1,024 descriptors"
CLIENTS = 40  # of the 341 that are a third of the descriptors
CACHES = 17  # "On the busiest days ... 11 to 17 shop caches"
SECONDS = 12
RATE = 1e6 if rig.TROUBLE else 1e10  # "Some clients read at most 1 MB a second"
BODY = b"v" * 240_000  # "An object holds any bytes, 240,000 at most"


async def answer(server, request, respond, reset):
    await asyncio.sleep(0.05)
    respond("OK", f"entity=e1,issued={int(time.time() * 1000)},detail=local", BODY)


async def case(record, folder):
    servers = [rig.Server(f"s-{i}", "box", answer) for i in range(CACHES)]
    servers += [rig.Server("p-1", "up", answer), rig.Server("o-1", "store", answer)]
    site = rig.settings([("scans", "repeatable", 6000, 5000, False)])
    world = rig.World(folder, servers, site, memory_mb=MEMORY_MB, sockets=SOCKETS)
    await world.start()
    limit_kb = MEMORY_MB * 1024
    record.write(f"memory limit {limit_kb} kB, resident at rest {world.doorman.memory_kb()} kB")
    clients = [await asyncio.create_subprocess_exec(
        sys.executable, os.path.join(HERE, "..", "lib2", "slow_client.py"), str(world.doorman.port), str(i), str(RATE),
        str(SECONDS), "6000", stdout=asyncio.subprocess.PIPE) for i in range(CLIENTS)]
    done = asyncio.ensure_future(asyncio.gather(*[client.communicate() for client in clients]))
    peak, killed, next_line = 0, False, 0.0
    while not done.done():
        if not killed:
            if world.doorman.process.returncode is not None:
                record.write(f"the doorman ended by itself with {world.doorman.process.returncode}")
                killed = True
                continue
            memory = world.doorman.memory_kb()
            peak = max(peak, memory)
            if time.monotonic() >= next_line or memory > limit_kb:
                record.write(f"resident {memory} kB")
                next_line = time.monotonic() + 0.5
            if memory > limit_kb:
                record.write(f"over the limit of {limit_kb} kB: the platform kills the doorman")
                world.doorman.process.kill()
                killed = True
        await asyncio.sleep(0.005)
    totals, unanswered = {}, 0
    for output, _ in done.result():
        line = json.loads(output)
        record.write(f"client {json.dumps(line)}")
        unanswered += line["open"]
        for word, count in line["answers"].items():
            totals[word] = totals.get(word, 0) + count
    record.write(f"peak {peak} kB of {limit_kb} kB; answers {totals}; requests that ended without an answer: {unanswered}")
    print(f"peak {peak} kB of {limit_kb} kB, answers {totals}, without an answer {unanswered}")
    return rig.BROKEN if killed else rig.HELD


rig.main(HERE, case)

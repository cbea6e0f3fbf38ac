"""A new configuration that lacks a key is taken at SIGHUP instead of being turned down, and the doorman hangs at the
first order after it."""
import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import rig  # noqa: E402

ALLOW_MS = 2000
LATE_S = 0.5 + 0.05  # "Up to half a second after its time it only earns nothing"; each time limit is 50 ms longer
NEW_CLASS_AFTER_S = 1.2  # "Clients begin using a new class 1.2 s later"
READERS = 5


async def answer(server, request, respond, reset):
    await asyncio.sleep(0.05)
    respond("OK", f"entity=e1,issued={int(time.time() * 1000)}", b"v" * 100)


async def case(record, folder):
    servers = [rig.Server("s-a", "box", answer), rig.Server("s-b", "box", answer), rig.Server("p-1", "up", answer),
               rig.Server("o-1", "store", answer)]
    site = rig.settings([("pages", "repeatable", 2500, 5000, False), ("orders", "by_key", 3000, 6000, True)])
    del site["lanes"][1]["aimStretch"]  # "the key may be absent", as it is for `orders` in WIRE's example
    world = rig.World(folder, servers, site)
    await world.start()
    door, lost, numbers = world.doorman, [], iter(range(1, 10**6))

    async def ask(client, name, class_name):
        number = next(numbers)
        start = time.monotonic()
        _, waiter = client.send(class_name, f"ref={number:016x},allow={ALLOW_MS},replay={number:032x},"
                                f"lookup={number:016x},block=0,family=1,room=100", b"order" * (class_name == "orders"))
        try:
            word = (await asyncio.wait_for(waiter, ALLOW_MS / 1000 + LATE_S))[0]
        except (asyncio.TimeoutError, ConnectionError) as error:
            word = f"no answer, {type(error).__name__}"
            lost.append(number)
        record.write(f"{name}: {class_name} ref={number:016x}: {word} after {(time.monotonic() - start) * 1000:.0f} ms")

    clients = [await rig.Client(door.port).connect() for _ in range(READERS + 1)]
    for client in clients:
        await asyncio.gather(ask(client, "before SIGHUP", "pages"), ask(client, "before SIGHUP", "orders"))
    with open(door.config, encoding="utf-8") as file:
        config = json.load(file)
    config["settings"]["limits"]["maxAttempts"] = 6  # "attempts may become fewer"
    config["settings"]["lanes"][1]["windowMs"] = 5000.0
    if rig.TROUBLE:
        del config["settings"]["lanes"][1]["promiseMs"]  # the file is missing a key: it is to be turned down whole
    with open(door.config + ".new", "w", encoding="utf-8") as file:
        json.dump(config, file)
    os.replace(door.config + ".new", door.config)
    record.write("SIGHUP with a file " + ("without settings.lanes[1].promiseMs" if rig.TROUBLE else "that is whole"))
    door.signal(signal.SIGHUP)
    await asyncio.sleep(NEW_CLASS_AFTER_S)
    await asyncio.gather(*[ask(client, f"reader {i}", "pages") for i, client in enumerate(clients[1:])])
    order = asyncio.ensure_future(ask(clients[0], "buyer", "orders"))
    await asyncio.sleep(0.2)
    await asyncio.gather(*[ask(client, f"reader {i}", "pages") for i, client in enumerate(clients[1:])])
    await order
    with open(f"/proc/{door.process.pid}/stat", encoding="utf-8") as file:
        before = sum(map(int, file.read().rsplit(")", 1)[1].split()[11:13]))
    await asyncio.sleep(1)
    with open(f"/proc/{door.process.pid}/stat", encoding="utf-8") as file:
        after = sum(map(int, file.read().rsplit(")", 1)[1].split()[11:13]))
    used = (after - before) / os.sysconf("SC_CLK_TCK")
    record.write(f"the doorman used {used:.2f} s of processor time in a second with nothing to do")
    door.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(door.process.wait(), 3.7)
        record.write(f"SIGTERM: ended with {door.process.returncode}")
    except asyncio.TimeoutError:
        record.write("SIGTERM: not ended 3.7 s later, when SIGKILL may come")
    print(f"requests without an answer: {len(lost)}; processor time in an idle second: {used:.2f} s")
    return rig.BROKEN if lost else rig.HELD


rig.main(HERE, case)

"""Clients of an instance over RESP: closed and open loops, slow readers, writers in pieces, cancels, sudden ends."""
import asyncio
import random
import socket
import time
from dataclasses import dataclass

from history import Connection, History, Request
from servers import body_of

MAX_WAIT = 0.05


@dataclass
class Behaviour:
    depth: int = 1  # requests in flight on one connection
    rate: float = 0.0  # requests a second, whatever comes back; 0: the next one follows an answer
    reads_bytes_per_s: int = 0  # 0: as fast as they come
    writes_in_pieces: bool = False
    cancels: float = 0.0  # chance for each request
    leaves: float = 0.0  # chance to close in the middle of things, for each request
    heeds_cooldown: bool = True


def encode(words) -> bytes:
    parts = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


async def read_answer(reader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Client:
    """One client with one connection at a time, to an instance that `choose` names."""

    def __init__(self, number: int, world, behaviour: Behaviour):
        self.world = world
        self.history: History = world.history
        self.behaviour = behaviour
        self.random = random.Random(f"{world.seed}/client/{number}")
        self.number = number
        self.requests_made = 0
        self.cooldown_until = 0.0
        self.changed = asyncio.Event()  # an answer has come, or the connection has ended

    async def run(self):
        while not self.world.is_over:
            instance = self.world.choose(self.random)
            if instance is None or time.monotonic() < self.cooldown_until:
                await asyncio.sleep(0.05)
                continue
            try:
                await self.use_connection(instance)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05 + 0.1 * self.random.random())

    async def use_connection(self, instance):
        limit = 4096 if self.behaviour.reads_bytes_per_s else 2 ** 18
        reader, writer = await asyncio.open_connection(*self.world.address(instance), limit=limit)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self.world.next_connection(), instance, time.monotonic())
        self.history.connections[connection.number] = connection
        open_requests: dict[bytes, Request] = {}
        self.tag = 0
        reading = asyncio.ensure_future(self.read(reader, connection, open_requests))
        try:
            await self.write(writer, connection, open_requests, reading)
            if not reading.done():
                connection.client_closed_at = time.monotonic()
        finally:
            writer.close()
            reading.cancel()

    async def write(self, writer, connection, open_requests, reading):
        next_at = time.monotonic()
        while not self.world.is_over and not reading.done():
            if time.monotonic() < self.cooldown_until and not open_requests:
                return
            now = time.monotonic()
            can_write = len(open_requests) < (32 if self.behaviour.rate else self.behaviour.depth)
            wait = max(self.cooldown_until, next_at) - now if can_write else MAX_WAIT
            if wait > 0:
                await self.wait_for_change(min(wait, MAX_WAIT))
                continue
            if self.behaviour.rate:
                next_at += self.random.expovariate(self.behaviour.rate)
            await self.write_request(writer, connection, open_requests)
            if self.random.random() < self.behaviour.leaves:
                return

    async def wait_for_change(self, limit):
        self.changed.clear()
        try:
            await asyncio.wait_for(self.changed.wait(), limit)
        except asyncio.TimeoutError:
            pass

    async def write_request(self, writer, connection, open_requests):
        name, effect, window, deadline = self.random.choice(self.world.classes)
        self.tag += 1
        self.requests_made += 1
        tag = str(self.tag).encode()
        reference = f"{self.world.seed & 0xffff:04x}{self.number:04x}{self.requests_made:08x}"
        object_id = f"{1 + int(self.random.paretovariate(0.7)) % 400:016x}"
        allow = deadline * self.random.uniform(0.4, 1.0)
        fields = f"ref={reference},allow={int(allow * 1000)},lookup={object_id},block=0,family=7,room=10"
        if effect == "by_key":
            fields += f",replay={self.random.getrandbits(128):032x}"
        body = b"x" * self.random.randrange(200) if effect != "repeatable" else b""
        message = encode(["RPC.CALL", tag, name, fields, body])
        if self.behaviour.writes_in_pieces:
            middle = self.random.randrange(1, len(message))
            writer.write(message[:middle])
            await asyncio.sleep(0.02)
            message = message[middle:]
        request = Request(reference, connection.instance, connection.number, name, effect, window, int(allow * 1000) / 1000,
                          object_id, time.monotonic())
        self.history.requests.append(request)
        open_requests[tag] = request
        writer.write(message)
        if self.random.random() < self.behaviour.cancels:
            asyncio.ensure_future(self.cancel(writer, tag, request, open_requests))

    async def cancel(self, writer, tag, request, open_requests):
        await asyncio.sleep(self.random.random() * 0.1)
        if tag in open_requests and not writer.is_closing():
            request.cancelled_at = time.monotonic()
            writer.write(encode(["RPC.CANCEL", tag]))
            open_requests.pop(tag)

    async def read(self, reader, connection, open_requests):
        try:
            while True:
                tag, status, fields, body = (await read_answer(reader))[:4]
                at = time.monotonic()
                if self.behaviour.reads_bytes_per_s:
                    await asyncio.sleep(len(body) / self.behaviour.reads_bytes_per_s)
                self.take(tag, status.decode(), fields.decode(), body, at, connection, open_requests)
                self.changed.set()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            connection.ended_at = time.monotonic()
            self.changed.set()

    def take(self, tag, status, fields, body, at, connection, open_requests):
        request = open_requests.pop(tag, None)
        if request is None:
            known = [one for one in self.history.requests if one.connection == connection.number]
            index = int(tag) - 1
            if index < len(known) and known[index].cancelled_at is None:
                known[index].answers.append((at, status, None, True))  # a second answer
            return
        issued, is_right = None, True
        if status == "done":
            issued = int(body.split(b":", 1)[0]) if b":" in body else None
            is_right = issued is not None and body == body_of(request.object_id, "0", issued, len(body))
        request.answers.append((at, status, issued, is_right))
        if status == "later" and "cooldown=" in fields and self.behaviour.heeds_cooldown:
            self.cooldown_until = at + min(int(fields.split("cooldown=")[1].split(",")[0]), 500) / 1000

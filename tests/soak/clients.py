"""Clients that send requests to an instance over RESP.

They run as closed or open loops; some read slowly, split their writes, cancel requests or disconnect early.
"""
import asyncio
import random
import socket
import time
from dataclasses import dataclass

from history import Connection, History, Request
from servers import make_body

MAX_WAIT_S = 0.05  # between checks of whether the next request can be written
RETRY_MARGIN_S = 0.15  # a key is not used again so shortly before its window ends


@dataclass
class Order:
    """A request with an idempotency key and all its tries."""
    traffic_class: tuple  # as in Day.classes
    key: str
    object_id: str
    body: bytes
    begun_at: float

    def time_left(self) -> float:
        """Returns the seconds for which its client may try again."""
        _, _, window, deadline = self.traffic_class
        return min(deadline, window - RETRY_MARGIN_S) - (time.monotonic() - self.begun_at)


@dataclass
class Behaviour:
    """How a client sends requests and reads responses."""
    max_in_flight: int = 1  # requests in flight on the connection
    requests_per_s: float = 0.0  # open loop; 0: closed loop, the next request follows a response
    read_bytes_per_s: int = 0  # 0: unlimited
    splits_writes: bool = False
    cancel_chance: float = 0.0  # per request
    disconnect_chance: float = 0.0  # per request: closes the connection with requests in flight
    honours_cooldown: bool = True  # waits as long as a rejection asks


def encode(words) -> bytes:
    """Encodes words as a RESP array of bulk strings."""
    parts = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


async def read_response(reader) -> list[bytes]:
    """Reads one RESP array of bulk strings; raises IncompleteReadError at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Client:
    """A client with one connection at a time, to an instance that World.choose_instance() returns."""

    def __init__(self, number: int, world, behaviour: Behaviour):
        self.world = world
        self.history: History = world.history
        self.behaviour = behaviour
        self.random = random.Random(f"{world.seed}/client/{number}")
        self.number = number
        self.requests_made = 0
        self.cooldown_until = 0.0
        self.unfinished_orders: dict[str, Order] = {}  # by the reference of their last try
        self.orders_to_retry: list[Order] = []
        self.progress = asyncio.Event()  # set when a response arrives or the connection ends

    async def run(self):
        while not self.world.has_ended:
            instance = self.world.choose_instance(self.random)
            if instance is None or time.monotonic() < self.cooldown_until:
                await asyncio.sleep(0.05)
                continue
            try:
                await self.use_connection(instance)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05 + 0.1 * self.random.random())

    async def use_connection(self, instance):
        limit = 4096 if self.behaviour.read_bytes_per_s else 2 ** 18
        reader, writer = await asyncio.open_connection(*self.world.address(instance), limit=limit)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self.world.next_connection(), instance, time.monotonic())
        self.history.connections[connection.number] = connection
        open_requests: dict[bytes, Request] = {}
        self.last_tag = 0
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
        while not self.world.has_ended and not reading.done():
            if time.monotonic() < self.cooldown_until and not open_requests:
                return
            now = time.monotonic()
            can_write = len(open_requests) < (32 if self.behaviour.requests_per_s
                                              else self.behaviour.max_in_flight)
            wait = max(self.cooldown_until, next_at) - now if can_write else MAX_WAIT_S
            if wait > 0:
                await self.wait_for_progress(min(wait, MAX_WAIT_S))
                continue
            if self.behaviour.requests_per_s:
                next_at += self.random.expovariate(self.behaviour.requests_per_s)
            await self.write_request(writer, connection, open_requests)
            if self.random.random() < self.behaviour.disconnect_chance:
                return

    async def wait_for_progress(self, limit):
        self.progress.clear()
        try:
            await asyncio.wait_for(self.progress.wait(), limit)
        except asyncio.TimeoutError:
            pass

    async def write_request(self, writer, connection, open_requests):
        retried = self.next_retry()
        traffic_class = retried.traffic_class if retried else self.random.choice(self.world.classes)
        name, effect, window, deadline = traffic_class
        self.last_tag += 1
        self.requests_made += 1
        tag = str(self.last_tag).encode()
        reference = f"{self.world.seed & 0xffff:04x}{self.number:04x}{self.requests_made:08x}"
        object_id = retried.object_id if retried else f"{1 + int(self.random.paretovariate(0.7)) % 400:016x}"
        body = b"x" * self.random.randrange(200) if effect != "repeatable" else b""
        timeout = deadline * self.random.uniform(0.4, 1.0)
        order = retried
        if effect == "by_key" and order is None:
            order = Order(traffic_class, f"{self.random.getrandbits(128):032x}", object_id, body, time.monotonic())
        if order is not None:
            body = order.body
            timeout = max(min(timeout, deadline - (time.monotonic() - order.begun_at)), 0.02)
            self.unfinished_orders[reference] = order
        fields = f"ref={reference},allow={int(timeout * 1000)},lookup={object_id},block=0,family=7,room=10"
        if order is not None:
            fields += f",replay={order.key}"
        message = encode(["RPC.CALL", tag, name, fields, body])
        if self.behaviour.splits_writes:
            middle = self.random.randrange(1, len(message))
            writer.write(message[:middle])
            await asyncio.sleep(0.02)
            message = message[middle:]
        request = Request(reference, connection.instance, connection.number, name, effect, window,
                          int(timeout * 1000) / 1000, object_id, time.monotonic(),
                          key=order.key if order else None)
        self.history.requests.append(request)
        open_requests[tag] = request
        writer.write(message)
        if self.random.random() < self.behaviour.cancel_chance:
            asyncio.ensure_future(self.cancel(writer, tag, request, open_requests))

    def next_retry(self) -> Order | None:
        """Returns an order to try again, if there is one whose window and deadline allow it."""
        while self.orders_to_retry:
            order = self.orders_to_retry.pop(0)
            if order.time_left() > 0:
                return order
        return None

    def finish_try(self, reference, served):
        """A try has ended; an order that was not served is tried again."""
        order = self.unfinished_orders.pop(reference, None)
        if order is not None and not served:
            self.orders_to_retry.append(order)

    async def cancel(self, writer, tag, request, open_requests):
        await asyncio.sleep(self.random.random() * 0.1)
        if tag in open_requests and not writer.is_closing():
            request.cancelled_at = time.monotonic()
            writer.write(encode(["RPC.CANCEL", tag]))
            open_requests.pop(tag)
            self.finish_try(request.reference, served=False)

    async def read(self, reader, connection, open_requests):
        try:
            while True:
                tag, status, fields, body = (await read_response(reader))[:4]
                at = time.monotonic()
                if self.behaviour.read_bytes_per_s:
                    await asyncio.sleep(len(body) / self.behaviour.read_bytes_per_s)
                self.handle_response(tag, status.decode(), fields.decode(), body, at, connection,
                                     open_requests)
                self.progress.set()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            connection.instance_closed_at = time.monotonic()
            self.progress.set()

    def handle_response(self, tag, status, fields, body, at, connection, open_requests):
        """Records a response with its request. Responses to a cancelled request are ignored."""
        request = open_requests.pop(tag, None)
        if request is None:
            known = [one for one in self.history.requests if one.connection == connection.number]
            index = int(tag) - 1
            if index < len(known) and known[index].cancelled_at is None:
                known[index].responses.append((at, status, None, True))  # a duplicate response
            return
        issued, is_right = None, True
        if status == "done":
            issued = int(body.split(b":", 1)[0]) if b":" in body else None
            is_right = issued is not None and body == make_body(request.object_id, "0", issued, len(body))
        request.responses.append((at, status, issued, is_right))
        self.finish_try(request.reference, served=status == "done")
        if status == "later" and "cooldown=" in fields and self.behaviour.honours_cooldown:
            self.cooldown_until = at + min(int(fields.split("cooldown=")[1].split(",")[0]), 500) / 1000

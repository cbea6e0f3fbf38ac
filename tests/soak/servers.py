"""Simulated servers (edge caches, parent cache, origin) and the simulated endpoint watch of an instance."""
import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass

from history import Attempt, History

LOOPBACK = "127.0.0.1"


def make_body(object_id: str, part: str, issued: int, size: int) -> bytes:
    """Returns the body of a copy, derived from its identity so that a client can verify it."""
    seed = hashlib.sha256(f"{object_id}/{part}/{issued}".encode()).hexdigest().encode()
    head = f"{issued}:".encode()
    return (head + seed * (size // len(seed) + 1))[:max(size, len(head))]


def parse_fields(text: str) -> dict:
    """Parses `key=value,...`; "-" stands for no fields."""
    return dict(part.split("=", 1) for part in text.split(",") if "=" in part) if text != "-" else {}


@dataclass
class ServerBehaviour:
    """How a server currently responds. Chances apply to each request."""
    delay: float = 0.04  # seconds
    jitter: float = 0.08  # seconds, the maximum added to the delay
    busy_chance: float = 0.0
    error_chance: float = 0.0
    is_hanging: bool = False  # receives requests and never responds
    is_silent: bool = False  # unreachable: requests and responses are lost, connections stay open
    reset_chance: float = 0.0  # resets the connection instead of responding
    cut_chance: float = 0.0  # closes the connection in the middle of a response
    splits_responses: bool = False  # writes each response in two parts
    repeat_chance: float = 0.0  # sends a second response, with another word, some milliseconds later
    early_reset_chance: float = 0.0  # resets the connection when it has read a request line, and runs nothing


class Server:
    """A server with one listener per instance, so that it knows which instance sent a request."""

    def __init__(self, name: str, kind: str, history: History, instances: list[str], seed: str):
        self.name = name
        self.kind = kind
        self.history = history
        self.random = random.Random(seed)
        self.behaviour = ServerBehaviour()
        self.copies: dict[tuple, int] = {}
        self.addresses: dict[str, str] = {}
        self.instances = instances
        self.is_up = True
        self.is_draining = False
        self.writers = set()
        self.unwritten = {}  # by writer: what follows the first part of a response that is being split
        self.listeners = []

    async def start(self):
        for instance in self.instances:
            listener = await asyncio.start_server(
                lambda reader, writer, instance=instance: self.serve(instance, reader, writer), LOOPBACK, 0)
            self.listeners.append(listener)
            self.addresses[instance] = "%s:%d" % listener.sockets[0].getsockname()[:2]

    def terminate(self):
        """Closes the listeners and resets all connections, as when the process ends."""
        self.is_up = False
        for listener in self.listeners:
            listener.close()
        self.reset_connections()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, instance, reader, writer):
        self.writers.add(writer)
        open_requests: dict[str, tuple[Attempt, asyncio.Task]] = {}
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.decode().split()
                if not words:
                    continue
                if words[0] == "REQ" and self.random.random() < self.behaviour.early_reset_chance:
                    writer.transport.abort()
                elif words[0] == "REQ":
                    body = await reader.readexactly(int(words[3]) + 2)
                    if not self.behaviour.is_silent:  # a request to a silent server is lost
                        self.handle_request(instance, words, body[:-2], writer, open_requests)
                elif words[0] == "STOP" and words[1] in open_requests:
                    attempt, task = open_requests.pop(words[1])
                    attempt.ended_at = time.monotonic()
                    task.cancel()
                elif words[0] in ("HELO", "STAT"):
                    writer.write(f"{words[1]} UP - 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            for attempt, task in open_requests.values():
                attempt.ended_at = time.monotonic()
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    def handle_request(self, instance, words, body, writer, open_requests):
        reference, fields = words[1], parse_fields(words[2])
        attempt = Attempt(reference, self.name, fields.get("miss"),
                          float(fields["budget"]) / 1000 if "budget" in fields else None, time.monotonic(), instance)
        self.history.attempts.append(attempt)
        task = asyncio.ensure_future(self.respond(reference, fields, attempt, writer, open_requests))
        open_requests[reference] = (attempt, task)

    async def respond(self, reference, fields, attempt, writer, open_requests):
        behaviour = self.behaviour
        if behaviour.is_hanging:
            return
        cached_issued = self.copies.get((fields["path"], fields.get("blk", "0")))
        is_fill = cached_issued is None and self.kind != "store"
        await asyncio.sleep(behaviour.delay + self.random.random() * behaviour.jitter + (0.03
                                                                                         if is_fill else 0.0))
        if self.behaviour.is_hanging or self.behaviour.is_silent:
            return
        draw = self.random.random()
        if draw < behaviour.busy_chance:
            return self.write_response(reference, "BUSY", "-", b"", attempt, writer, open_requests)
        if draw < behaviour.busy_chance + behaviour.error_chance:
            return self.write_response(reference, "ERR", "-", b"", attempt, writer, open_requests)
        if is_fill and "miss" not in fields:
            return self.write_response(reference, "MISS", "-", b"", attempt, writer, open_requests)
        issued = (cached_issued if cached_issued is not None and self.kind != "store"
                  else int(time.time() * 1000))
        if is_fill:  # issued after the delay, so a copy that was purged meanwhile does not come back
            self.copies[(fields["path"], fields.get("blk", "0"))] = issued
        body = make_body(fields["path"], fields.get("blk", "0"), issued, 60 + self.random.randrange(3000))
        text = f"entity={issued:x},issued={issued},detail={'pulled' if is_fill else 'local'}"
        if draw > 1 - behaviour.reset_chance:
            open_requests.pop(reference, None)
            attempt.ended_at = time.monotonic()
            return writer.transport.abort()
        if draw > 1 - behaviour.reset_chance - behaviour.cut_chance:
            writer.write(f"{reference} OK {text} {len(body)}\r\n".encode() + body[:20])
            open_requests.pop(reference, None)
            attempt.ended_at = time.monotonic()
            return writer.close()
        self.write_response(reference, "OK", text, body, attempt, writer, open_requests)

    def write_response(self, reference, word, fields, body, attempt, writer, open_requests):
        open_requests.pop(reference, None)
        attempt.ended_at = time.monotonic()
        attempt.outcome = word
        if self.random.random() < self.behaviour.repeat_chance:
            second = f"{reference} {self.random.choice(['BUSY', 'MISS', 'VOID', 'ERR'])} - 0\r\n\r\n".encode()
            asyncio.get_event_loop().call_later(0.03 + 0.05 * self.random.random(), self.write, writer, second)
        data = f"{reference} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n"
        self.write(writer, data)

    def write(self, writer, data):
        """Writes a response, in two parts if the server splits them; no other one comes between the parts."""
        if writer in self.unwritten:
            self.unwritten[writer] += data
        elif self.behaviour.splits_responses:
            middle = len(data) // 2
            writer.write(data[:middle])
            self.unwritten[writer] = data[middle:]
            asyncio.get_event_loop().call_later(0.02, self.write_rest, writer)
        else:
            writer.write(data)

    def write_rest(self, writer):
        writer.write(self.unwritten.pop(writer))

    def purge(self, object_id: str):
        """Removes all copies of the object."""
        for key in [key for key in self.copies if key[0] == object_id]:
            del self.copies[key]


class EndpointWatch:
    """The endpoint watch (change log) of one instance. Events are numbered from 1 for each instance."""

    def __init__(self, instance: str, known: list):
        self.instance = instance
        self.events = list(known)  # (event without its number, on_written)
        self.writers = []  # [writer, index of the next event to write]
        self.is_stalled = False
        self.is_down = False
        self.address = ""

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        self.heartbeat_task = asyncio.ensure_future(self.send_heartbeats())

    def event_line(self, index: int) -> str:
        return json.dumps({"seq": index + 1, **self.events[index][0]})

    async def serve(self, reader, writer):
        try:
            if self.is_down:
                return writer.transport.abort()
            line = await reader.readline()
            start = int(line.split()[1])
            state = [writer, min(start, len(self.events))]
            self.writers.append(state)
            self.flush(state)
            while await reader.read(100):
                pass
        except (ConnectionError, IndexError, ValueError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers = [one for one in self.writers if one[0] is not writer]
            writer.close()

    def flush(self, state):
        """Writes the pending events unless the watch is stalled."""
        writer, position = state
        while not self.is_stalled and position < len(self.events):
            writer.write(self.event_line(position).encode() + b"\n")
            self.events[position][1](self.instance, time.monotonic())
            position += 1
        state[1] = position

    def publish(self, event: dict, on_written=lambda instance, at: None):
        """Adds an event; calls on_written(instance, at) after each write of it to a connection."""
        self.events.append((event, on_written))
        for state in self.writers:
            self.flush(state)

    def cut(self, in_line: bool):
        """Closes all connections; with in_line, after a truncated line."""
        for writer, _ in self.writers:
            if in_line:
                writer.write(b'{"seq":99999,"fle')
            writer.close()

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(1.0)
            for state in self.writers:
                if not self.is_stalled:
                    self.flush(state)
                    state[0].write(f"{len(self.events)}\n".encode())

"""Stand-ins and helpers for the cases of the second review: one doorman on the platform, its shop caches, parent,
origin, change log and clients. Only the standard library; only loopback addresses and free ports."""
import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_command() -> str:
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


def free_port(kind=socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f}  {text}\n")
        self.file.flush()


def settings(classes, **family):
    """Settings of a small deployment. `classes`: name, effect, deadline, window, is it a write."""
    lanes = [{"name": name, "effect": effect, "keyScope": "all", "promiseMs": 400.0, "aimStretch": 2.0,
              "giveUpMs": float(deadline), "lateShare": 0.1, "credit": 1.0, "streaming": False,
              "windowMs": float(window)} for name, effect, deadline, window, _ in classes]
    info = {"midKind": 1, "sourceKind": 2, "siblings": "location", "detail": "hit", "paceKbPerS": 5000.0,
            "passThroughOk": True, "canJoin": True, "classWrite": [write for *_, write in classes],
            "maxAgeMs": [0.0] * len(classes), "classGraceMs": [0.0] * len(classes), "instancesByZone": [0, 1],
            "purgeSlackMs": 1000.0, "goneEverywhereMs": 6000.0, "parentColdFrom": 0.1, "upperColdMs": 20000.0,
            "upperFallMultiple": 2.0}
    info.update(family)
    return {"areas": ["core", "edge"], "kinds": ["box", "up", "store"], "zone": "edge", "instances": 1, "me": 0,
            "tickMs": 2.0, "lanes": lanes, "familyInfo": info,
            "limits": {"maxAttempts": 8, "cancel": True, "connectTimeoutMs": 400.0, "retryAfter": True,
                       "maxRetryAfterMs": 2000.0, "idleCloseMs": 30000.0, "streamsPerConn": 100,
                       "mayDuplicate": False},
            "rules": {"coldShare": 0.2, "warmAfterMs": 16000.0, "fallMultiple": 2.5, "tipAfterMs": 3000.0,
                      "drainGraceMs": 500.0, "graceToAnswerMs": 8.0},
            "weights": "off", "registryMode": "automatic"}


def parse_fields(text):
    return dict(pair.split("=", 1) for pair in text.split(",") if "=" in pair) if text != "-" else {}


class Server:
    """A shop cache, a parent or the origin. `handle(server, request, respond, reset)` is called for each request."""

    def __init__(self, name, kind, handle):
        self.name, self.kind, self.handle = name, kind, handle
        self.address = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        open_requests = {}
        try:
            while True:
                words = (await reader.readuntil(b"\r\n")).decode().split()
                if not words:
                    continue
                if words[0] == "REQ":
                    body = await reader.readexactly(int(words[3]) + 2)
                    request = {"id": words[1], "fields": parse_fields(words[2]), "body": body[:-2],
                               "at": time.monotonic(), "server": self.name}
                    open_requests[words[1]] = asyncio.ensure_future(
                        self.run(request, writer, open_requests))
                elif words[0] == "STOP":
                    task = open_requests.pop(words[1], None)
                    if task:
                        task.cancel()
                elif words[0] in ("HELO", "STAT"):
                    writer.write(f"{words[1]} UP - 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            for task in open_requests.values():
                task.cancel()
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    async def run(self, request, writer, open_requests):
        def respond(word, fields="-", body=b""):
            open_requests.pop(request["id"], None)
            writer.write(f"{request['id']} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

        def reset():
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

        try:
            await self.handle(self, request, respond, reset)
        except asyncio.CancelledError:
            pass


class ChangeLog:
    """Writes the last number each second; events can be added."""

    def __init__(self, known):
        self.events = list(known)
        self.streams = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            since = int((await reader.readline()).split()[1])
            for event in self.events[since:]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.streams.add(writer)
            while True:
                writer.write(f"{len(self.events)}\n".encode())
                await asyncio.sleep(1)
                if writer.is_closing():
                    return
        except (ConnectionError, OSError, IndexError, ValueError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()


def server_entry(server, state="up"):
    return {"id": server.name, "addr": server.address, "zone": "edge" if server.kind == "box" else "core",
            "kind": server.kind, "cell": 0, "state": state, "weight": 1, "started_ms": 0}


class Doorman:
    """The project's program, started with the command of the deploy file."""

    def __init__(self, folder, config, name="n0", extra=None, command=None):
        self.folder, self.name = folder, name
        self.port = free_port()
        self.config = os.path.join(folder, name + ".json")
        listen = f"{HOST}:{self.port}"
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(dict(config, name=name, listen=listen), file)
        self.environment = dict(os.environ, PROXY_NAME=name, PROXY_LISTEN=listen, PROXY_CONFIG=self.config,
                                TMPDIR=folder, **(extra or {}))
        self.command = command or run_command()
        self.process = None

    async def start(self):
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.command, cwd=ROOT, env=self.environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log.close()

    def memory_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


class Client:
    """A connection that speaks the clients' protocol."""

    def __init__(self, port):
        self.port = port
        self.tag = 0
        self.open = {}
        self.is_ended = False

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                count = int((await self.reader.readuntil(b"\r\n"))[1:])
                words = []
                for _ in range(count):
                    length = int((await self.reader.readuntil(b"\r\n"))[1:])
                    words.append((await self.reader.readexactly(length + 2))[:-2])
                waiter = self.open.pop(words[0].decode(), None)
                if waiter and not waiter.done():
                    waiter.set_result((words[1].decode(), words[2].decode() if count > 2 else "",
                                       words[3] if count > 3 else b""))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.is_ended = True
            for waiter in self.open.values():
                if not waiter.done():
                    waiter.set_exception(ConnectionResetError("connection ended without an answer"))

    @staticmethod
    def encode(*words):
        out = b"*%d\r\n" % len(words)
        for word in words:
            word = word if isinstance(word, bytes) else word.encode()
            out += b"$%d\r\n%s\r\n" % (len(word), word)
        return out

    def send(self, class_name, fields, body=b""):
        """Writes a request; returns its tag and the future of (word, fields, body)."""
        self.tag += 1
        tag = str(self.tag)
        waiter = asyncio.get_running_loop().create_future()
        self.open[tag] = waiter
        self.writer.write(self.encode("RPC.CALL", tag, class_name, fields, body))
        return tag, waiter

    def cancel(self, tag):
        self.open.pop(tag, None)
        self.writer.write(self.encode("RPC.CANCEL", tag))

    async def healthy(self):
        self.tag += 1
        waiter = asyncio.get_running_loop().create_future()
        self.open[str(self.tag)] = waiter
        self.writer.write(self.encode("RPC.HEALTH", str(self.tag), b""))
        return (await asyncio.wait_for(waiter, 2))[0] == "healthy"

    def close(self):
        self.task.cancel()
        self.writer.transport.abort()


async def wait_until_healthy(port, seconds=10):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            client = await Client(port).connect()
            try:
                if await client.healthy():
                    return
            finally:
                client.close()
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError("the doorman is not ready")


class World:
    """Servers, change log and one doorman."""

    def __init__(self, folder, servers, site, memory_mb=192, sockets=1024, extra=None):
        self.folder, self.servers, self.site = folder, servers, site
        self.memory_mb, self.sockets, self.extra = memory_mb, sockets, extra

    async def start(self):
        for server in self.servers:
            await server.start()
        first = {"seq": 1, "fleet": {"version": 1, "full": True,
                                     "servers": [server_entry(server) for server in self.servers]}}
        self.changelog = ChangeLog([first])
        await self.changelog.start()
        self.doorman = Doorman(self.folder, {
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "changelog": self.changelog.address, "known": {"seq": 1, "results": [first]}, "settings": self.site},
            extra=self.extra)
        await self.doorman.start()
        await wait_until_healthy(self.doorman.port)


def main(folder, case):
    """Runs `case(record, temporary folder)`, which returns HELD or BROKEN, and exits with the result."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="tinspan-review-")
    record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
    started = []
    create = asyncio.create_subprocess_exec

    async def create_and_note(*arguments, **options):
        process = await create(*arguments, **options)
        started.append(process)
        return process

    asyncio.create_subprocess_exec = create_and_note

    async def run():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, temporary), 110)
        finally:
            for process in started:
                if process.returncode is None:
                    for number in (signal.SIGCONT, signal.SIGKILL):
                        process.send_signal(number)
                    await process.wait()

    try:
        result = asyncio.run(run())
    except (Exception, KeyboardInterrupt, asyncio.CancelledError) as error:  # the case could not run: neither held nor broken
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        result = COULD_NOT_RUN
    for name in sorted(os.listdir(temporary)):
        if name.endswith(".log"):
            with open(os.path.join(temporary, name), "rb") as file:
                tail = file.read()[-4000:].decode(errors="replace")
            record.write(f"end of {name}:\n{tail}")
    if os.environ.get("KEEP"):
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write({HELD: "result: held", BROKEN: "result: broken", COULD_NOT_RUN: "result: could not run"}[result])
    sys.exit(result)

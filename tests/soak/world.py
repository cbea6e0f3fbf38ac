"""One day: the instances as real processes, the servers and clients around them, the operators and the faults."""
import asyncio
import errno
import json
import mmap
import os
import random
import secrets
import signal
import socket
import struct
import tempfile
import time

from clients import Client, encode, read_answer
from history import Drain, History, Process, Purge, Standby, Status
from schedule import Day, Fault
from servers import LOOPBACK, EndpointWatch, Server, ServerBehaviour

READY_POLL = 0.1
KILL_MARGIN = 0.7
NOTED_LAG = 0.01
MAX_DEADLINE_BEFORE_KILL = 3.0
# fault_control.hpp: the clock's offset, then an error and a count for each call.
CALLS = ["accept", "socket", "connect", "receive", "send", "wait", "register", "write", "sync"]
CONTROL_BYTES = 8 + 8 * len(CALLS)
CALL_ERRORS = {"accept": [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EPROTO], "wait": [errno.EINTR],
               "socket": [errno.ENFILE, errno.ENOBUFS], "connect": [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS],
               "receive": [errno.EINTR, -1, errno.ENOBUFS], "send": [errno.EINTR, -1, errno.ENOBUFS],
               "register": [errno.ENOMEM]}


FIRST_PORT, LAST_PORT = 10_000, 32_000  # below those that the system gives to outgoing connections


def free_port() -> int:
    """A port that nobody listens at, nor is given to a connection between now and its use."""
    while True:
        port = secrets.choice(range(FIRST_PORT, LAST_PORT))
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


class Instance:
    """An instance: its addresses, its watch, and its processes, of which an upgrade has two."""

    def __init__(self, name: str):
        self.name = name
        self.port = free_port()
        self.admin_port = 0
        self.watch: EndpointWatch | None = None
        self.processes = []  # running, the newest last
        self.is_taken_by_front = False
        self.standby_since: float | None = None
        self.config_path = ""
        self.busy_with = ""  # an operation of the operators: one at a time


class World:
    def __init__(self, day: Day, program: str, shim: str):
        self.day = day
        self.seed = day.seed
        self.program = program
        self.shim = shim
        self.history = History(day.seed)
        self.is_over = False
        self.classes = day.classes
        self.connections = 0
        self.random = random.Random(f"world/{day.seed}")
        self.instances = [Instance(f"n{number}") for number in range(day.instances)]
        names = [one.name for one in self.instances]
        kinds = [("s-%02d" % number, "box") for number in range(day.caches)] + [("p-1", "up"), ("o-1", "store")]
        self.servers = [Server(name, kind, self.history, names, f"{day.seed}/{name}") for name, kind in kinds]
        self.folder = tempfile.TemporaryDirectory(prefix="tinspan-soak-")
        self.tasks = []
        self.running = {}  # process number: (asyncio process, control map, log file)

    # ---- What clients ask. ----

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def choose(self, rng):
        taken = [one for one in self.instances if one.is_taken_by_front]
        return rng.choice(taken).name if taken else None

    def address(self, name):
        return LOOPBACK, next(one for one in self.instances if one.name == name).port

    # ---- Configuration. ----

    def settings(self):
        longest = max(deadline for *_, deadline in self.day.classes) * 1000
        lanes, seen = [], set()
        for name, effect, window, deadline in self.day.classes:
            if name in seen:
                continue
            seen.add(name)
            lanes.append({"name": name, "effect": effect, "keyScope": "all", "promiseMs": deadline * 700, "aimStretch": 2.0,
                          "giveUpMs": deadline * 1000, "lateShare": 0.2, "credit": 1.0, "streaming": False,
                          "windowMs": window * 1000})
        writes = [lane["effect"] != "repeatable" for lane in lanes]
        return {"areas": ["core", "edge"], "kinds": ["box", "up", "store"], "zone": "edge", "instances": 1, "me": 0,
                "tickMs": 2.0, "lanes": lanes,
                "familyInfo": {"midKind": 1, "sourceKind": 2, "siblings": "location", "detail": "hit", "paceKbPerS": 5000.0,
                               "passThroughOk": True, "canJoin": True, "classWrite": writes,
                               "maxAgeMs": [0.0 if write else 60000.0 for write in writes],
                               "classGraceMs": [0.0] * len(lanes), "instancesByZone": [0, 1], "purgeSlackMs": 1000.0,
                               "goneEverywhereMs": 6000.0, "parentColdFrom": 0.1, "upperColdMs": 20000.0,
                               "upperFallMultiple": 2.0},
                "limits": {"maxAttempts": self.day.max_attempts, "cancel": True, "connectTimeoutMs": min(400.0, longest / 3),
                           "retryAfter": True, "maxRetryAfterMs": 2000.0, "idleCloseMs": 30000.0, "streamsPerConn": 100},
                "rules": {"coldShare": 0.2, "warmAfterMs": 16000.0, "fallMultiple": 2.5, "tipAfterMs": 3000.0,
                          "drainGraceMs": 500.0, "graceToAnswerMs": 8.0}, "weights": "off", "registryMode": "automatic"}

    def member(self, server: Server, instance: str, state="up"):
        return {"id": server.name, "addr": server.addresses[instance], "zone": "edge" if server.kind == "box" else "core",
                "kind": server.kind, "cell": 0, "state": state, "weight": 1, "started_ms": 0}

    def write_config(self, instance: Instance, broken=False):
        watch = instance.watch
        known = {"seq": len(watch.events), "results": [json.loads(watch.numbered(number))
                                                       for number in range(len(watch.events))]}
        config = {"name": instance.name, "listen": f"{LOOPBACK}:{instance.port}", "seed": f"{self.seed:016x}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": watch.address, "known": known,
                  "settings": self.settings()}
        text = json.dumps(config)
        instance.config_path = os.path.join(self.folder.name, instance.name + ".json")
        with open(instance.config_path, "w") as file:
            file.write(text[:len(text) // 2] if broken else text)

    # ---- Processes. ----

    async def start_process(self, instance: Instance) -> Process:
        number = len(self.history.processes) + 1
        instance.admin_port = free_port()
        control_path = os.path.join(self.folder.name, f"control-{number}")
        with open(control_path, "wb") as file:
            file.write(b"\0" * CONTROL_BYTES)
        with open(control_path, "r+b") as file:
            control = mmap.mmap(file.fileno(), CONTROL_BYTES)
        log = open(os.path.join(self.folder.name, f"{instance.name}-{number}.log"), "w")
        environment = dict(os.environ, PROXY_NAME=instance.name, PROXY_LISTEN=f"{LOOPBACK}:{instance.port}",
                           PROXY_CONFIG=instance.config_path, PROXY_OPS=f"{LOOPBACK}:{instance.admin_port}",
                           LD_PRELOAD=self.shim, TINSPAN_TEST_CLOCK=control_path,
                           ASAN_OPTIONS="verify_asan_link_order=0")
        process = Process(number, instance.name, time.monotonic())
        self.history.processes[number] = process
        child = await asyncio.create_subprocess_exec(self.program, "serve", "--log-level", "debug", env=environment,
                                                     stdout=log, stderr=log)
        self.running[number] = (child, control, log)
        instance.processes.append(process)
        self.spawn(self.wait_for_end(instance, process, child))
        return process

    async def wait_for_end(self, instance, process, child):
        process.exit_status = await child.wait()
        process.ended_at = time.monotonic()
        instance.processes = [one for one in instance.processes if one is not process]
        if not instance.processes:
            instance.is_taken_by_front = False

    async def wait_ready(self, instance, process):
        while not self.is_over and process.ended_at is None:
            text = await self.ask(instance, "status", record=False)
            if text is not None and text.startswith("done"):
                process.ready_at = time.monotonic()
                return True
            await asyncio.sleep(READY_POLL)
        return False

    async def ask(self, instance, call, record=True):
        """The admin listener's answer to one call; None: none came."""
        asked_at, port = time.monotonic(), instance.admin_port
        text = None
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(call.encode() + b"\n")
            line = await asyncio.wait_for(reader.readline(), 3.0)
            text = line.decode().strip() or None
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        if record:
            self.history.statuses.append(Status(instance.name, call, asked_at,
                                                time.monotonic() if text is not None else None, text))
        return text

    def signal(self, process, number):
        child = self.running[process.number][0]
        if process.ended_at is None and child.returncode is None:
            child.send_signal(number)

    def kill(self, process):
        if process.ended_at is None:
            process.killed_at = time.monotonic()
            self.signal(process, signal.SIGKILL)

    # ---- The front and the operators' look, every 0.1 s. ----

    async def front(self, instance):
        while not self.is_over:
            if instance.processes and instance.busy_with not in ("restart", "upgrade", "kill"):
                text = await self.ask(instance, "status")
                is_ready = text is not None and text.startswith("done")
                if not is_ready and instance.is_taken_by_front:
                    asyncio.get_event_loop().call_later(0.2, self.let_go, instance)
                elif is_ready:
                    instance.is_taken_by_front = True
            await asyncio.sleep(READY_POLL)

    def let_go(self, instance):
        instance.is_taken_by_front = False

    # ---- The day. ----

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def measure_lag(self):
        while not self.is_over:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            lag = time.monotonic() - before - 0.005
            if lag > NOTED_LAG:
                self.history.lags.append((before, lag))

    async def run(self):
        for server in self.servers:
            await server.start()
        for instance in self.instances:
            members = [self.member(server, instance.name) for server in self.servers]
            first = {"fleet": {"version": 1, "full": True, "servers": members}}
            instance.watch = EndpointWatch(instance.name, [(first, lambda name, at: None)])
            await instance.watch.start()
            self.write_config(instance)
            process = await self.start_process(instance)
            self.spawn(self.wait_ready(instance, process))
        started_at = time.monotonic()
        self.started_at = started_at
        for instance in self.instances:
            self.spawn(self.front(instance))
        await asyncio.sleep(0.5)
        self.spawn(self.measure_lag())
        for number, behaviour in enumerate(self.day.clients):
            self.spawn(Client(number, self, behaviour).run())
        for fault in self.day.faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            self.spawn(self.play(fault))
        await asyncio.sleep(max(0.0, started_at + self.day.seconds - time.monotonic()))
        served = await self.final_probe()
        self.is_over = True
        self.history.ended_at = time.monotonic()
        await self.clean_up()
        return served

    async def clean_up(self):
        for child, _, _ in self.running.values():
            if child.returncode is None:
                child.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            server.die()

    async def final_probe(self):
        """Instances that serve nobody though they say that they are ready."""
        idle = []
        for instance in self.instances:
            if not instance.is_taken_by_front or instance.busy_with:
                continue
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, instance.port)
                writer.write(encode(["RPC.HEALTH", "1", ""]))
                words = await asyncio.wait_for(read_answer(reader), 2.0)
                writer.close()
                if words[1] != b"healthy":
                    idle.append(instance.name)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                idle.append(instance.name)
        return idle

    # ---- Faults. ----

    async def play(self, fault: Fault):
        instance = self.instances[fault.instance]
        server = self.servers[fault.server % len(self.servers)]
        name = instance.name if fault.kind in OPERATIONS or fault.kind.startswith(("watch", "clock", "calls")) else server.name
        self.history.faults.append((time.monotonic(), f"{fault.kind} {name} for {fault.span:.1f} s"))
        if fault.kind in OPERATIONS:
            if instance.busy_with or not instance.processes:
                return
            # A standby may be crossed by any other operation.
            instance.busy_with = fault.kind if fault.kind != "standby" else ""
            try:
                await getattr(self, "play_" + fault.kind)(instance, fault)
            finally:
                instance.busy_with = ""
        elif fault.kind.startswith("server_"):
            await self.play_server(server, fault)
        else:
            await getattr(self, "play_" + fault.kind)(instance, fault)

    async def play_standby(self, instance, fault, span=6.0):
        if instance.standby_since is not None:
            return
        called_at = instance.standby_since = time.monotonic()
        if await self.ask(instance, "standby") != "done standby":
            instance.standby_since = None
            return
        await asyncio.sleep(span)
        until = time.monotonic()
        instance.standby_since = None
        self.history.standbys.append(Standby(instance.name, called_at, until, "active"))
        await self.ask(instance, "active")

    async def play_standby_cut(self, instance, fault):
        """In series, each cut off by the next call."""
        for number in range(3):
            await self.play_standby(instance, fault, span=0.1 + fault.span / (number + 1))
            await asyncio.sleep(0.2)

    async def play_reload(self, instance, fault):
        for _ in range(3):
            self.write_config(instance)
            self.signal(instance.processes[-1], signal.SIGHUP)
            await asyncio.sleep(0.1)

    async def play_reload_bad(self, instance, fault):
        self.write_config(instance, broken=True)
        self.signal(instance.processes[-1], signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.write_config(instance)

    def kill_after(self) -> float:
        longest = max(deadline for *_, deadline in self.day.classes)
        return min(longest, MAX_DEADLINE_BEFORE_KILL) + KILL_MARGIN

    async def stop_process(self, process):
        """SIGTERM, then SIGKILL at the page's earliest; clients go on using their connections."""
        process.told_to_stop_at = time.monotonic()
        self.signal(process, signal.SIGTERM)
        end = process.told_to_stop_at + self.kill_after()
        while process.ended_at is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.kill(process)

    async def play_restart(self, instance, fault):
        process = instance.processes[-1]
        asyncio.get_event_loop().call_later(0.3, self.let_go, instance)
        await self.stop_process(process)
        while process.ended_at is None:
            await asyncio.sleep(0.02)
        await self.start_again(instance)

    async def start_again(self, instance):
        self.write_config(instance)
        process = await self.start_process(instance)
        if await self.wait_ready(instance, process):
            instance.is_taken_by_front = True

    async def play_upgrade(self, instance, fault):
        old = instance.processes[-1]
        self.write_config(instance)
        process = await self.start_process(instance)
        if await self.wait_ready(instance, process):
            await self.stop_process(old)

    async def play_kill(self, instance, fault):
        process = instance.processes[-1]
        self.kill(process)
        while process.ended_at is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        await self.start_again(instance)

    async def play_pause(self, instance, fault):
        process = instance.processes[-1]
        span = min(fault.span, 1.0)
        since = time.monotonic()
        process.pauses.append((since, since + span + 0.2))  # and the moment in which it catches up
        self.signal(process, signal.SIGSTOP)
        await asyncio.sleep(span)
        self.signal(process, signal.SIGCONT)

    async def play_server(self, server, fault):
        how = server.behaviour
        kind = fault.kind.removeprefix("server_")
        if kind == "dies":
            if server.kind == "box" and sum(one.is_up for one in self.servers if one.kind == "box") > 2:
                server.die()
                self.tell_members(server, "removed")
            return
        if kind == "drains":
            if server.kind != "box" or not server.is_up or server.is_draining:
                return
            server.is_draining = True
            drain = Drain(server.name, time.monotonic())
            self.history.drains.append(drain)
            self.tell_members(server, "draining", lambda name, at: drain.received_at.setdefault(name, at))
            await asyncio.sleep(fault.span + 3)
            server.is_draining = False
            if server.is_up:
                drain.until = time.monotonic()
                self.tell_members(server, "up")
            return
        changes = {"hang": ("is_hanging", True), "silent": ("is_silent", True), "busy": ("busy", 0.5), "error": ("error", 0.3),
                   "reset": ("reset", 0.3), "cut": ("cut", 0.3), "pieces": ("pieces", True), "slow": ("delay", 0.3)}
        attribute, value = changes[kind]
        setattr(how, attribute, value)
        await asyncio.sleep(fault.span)
        setattr(how, attribute, getattr(ServerBehaviour(), attribute))
        if kind == "silent":  # the machine is back, and knows nothing of its connections
            server.reset_connections()

    def tell_members(self, server, state, on_written=lambda name, at: None):
        for instance in self.instances:
            event = {"fleet": {"version": len(instance.watch.events) + 1, "full": False,
                               "servers": [self.member(server, instance.name, state)]}}
            instance.watch.tell(event, on_written)

    async def play_purge(self, instance, fault):
        object_id = f"{1 + fault.number % 400:016x}" if fault.number % 3 else f"{1 + fault.number % 5:016x}"
        now = time.time()
        purge = Purge(object_id, time.monotonic(), int(now * 1000))
        self.history.purges.append(purge)
        for one in self.instances:
            one.watch.tell({"invalidate": {"object": object_id, "time": purge.time}},
                           lambda name, at: purge.received_at.setdefault(name, at))
        for server in self.servers:
            await asyncio.sleep(0.05)
            asyncio.get_event_loop().call_later(self.random.random() * 4, server.purge, object_id)

    async def play_watch_stall(self, instance, fault):
        instance.watch.is_stalled = True
        await asyncio.sleep(fault.span)
        instance.watch.is_stalled = False

    async def play_watch_cut(self, instance, fault):
        instance.watch.is_down = True
        instance.watch.cut(fault.number % 2 == 0)
        await asyncio.sleep(fault.span)
        instance.watch.is_down = False

    async def play_clock(self, instance, fault):
        step = [3600, -3600, 5, -5][fault.number % 4]
        for process in instance.processes:
            struct.pack_into("<q", self.running[process.number][1], 0, step * 1_000_000)

    async def play_calls(self, instance, fault):
        call = list(CALL_ERRORS)[fault.number % len(CALL_ERRORS)]
        error = CALL_ERRORS[call][fault.number // 7 % len(CALL_ERRORS[call])]
        for process in instance.processes:
            struct.pack_into("<ii", self.running[process.number][1], 8 + 8 * CALLS.index(call), error, 1 + fault.number % 8)

    async def play_crowd(self, instance, fault):
        writers = []
        try:
            for _ in range(200):
                _, writer = await asyncio.open_connection(*self.address(instance.name))
                writers.append(writer)
            await asyncio.sleep(fault.span)
        except OSError:
            pass
        for writer in writers:
            writer.close()


OPERATIONS = {"standby", "standby_cut", "reload", "reload_bad", "restart", "upgrade", "kill", "pause"}

"""Runs one day: instances as real processes, simulated servers and clients, operators and injected faults."""
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

from clients import Client, encode, read_response
from history import AdminCall, Drain, History, Process, Purge, Standby
from schedule import Day, Fault
from servers import LOOPBACK, EndpointWatch, Server, ServerBehaviour

READY_POLL_INTERVAL_S = 0.1
MAX_FAST_POLLED = 30  # instances; more of them are looked at less often, since the soak is one process
KILL_MARGIN_S = 0.7  # between the longest deadline after SIGTERM and SIGKILL
MIN_RECORDED_LAG_S = 0.01  # shorter delays of the event loop are not recorded
MAX_DEADLINE_BEFORE_KILL_S = 3.0
# Layout of tests/net/fault_control.hpp: the clock offset, then an error and a count for each call.
CALLS = ["accept", "socket", "connect", "receive", "send", "wait", "register", "write", "sync"]
CONTROL_BYTES = 8 + 8 * len(CALLS)
CALL_ERRORS = {"accept": [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EPROTO], "wait": [errno.EINTR],
               "socket": [errno.ENFILE, errno.ENOBUFS], "connect": [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS],
               "receive": [errno.EINTR, -1, errno.ENOBUFS], "send": [errno.EINTR, -1, errno.ENOBUFS],
               "register": [errno.ENOMEM]}


# Series of signals that end a process.
STOP_SIGNALS = [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
                (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)]
FIRST_PORT, LAST_PORT = 10_000, 32_000  # below the ephemeral ports of outgoing connections


taken_ports: set[int] = set()  # returned by free_port, perhaps not bound yet


def free_port() -> int:
    """Returns a port on which nothing listens, another one with each call.

    It is outside the ephemeral range, so no outgoing connection gets it before it is used.
    """
    while True:
        port = secrets.choice(range(FIRST_PORT, LAST_PORT))
        if port in taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        taken_ports.add(port)
        return port


class Instance:
    """An instance: its addresses, endpoint watch and processes. During an upgrade it has two processes."""

    def __init__(self, name: str):
        self.name = name
        self.port = free_port()
        self.admin_port = 0
        self.watch: EndpointWatch | None = None
        self.processes = []  # running ones, the newest last
        self.is_in_rotation = False
        self.standby_since: float | None = None
        self.config_path = ""
        self.current_operation = ""  # of the operators, one at a time; "": none


class World:
    """The instances, servers, clients and operators of one run, and the history that they record."""

    def __init__(self, day: Day, program: str, shim: str):
        self.day = day
        self.seed = day.seed
        self.program = program
        self.shim = shim
        self.history = History(day.seed)
        self.has_ended = False
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

    # ---- Used by clients. ----

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def choose_instance(self, rng):
        """Returns the name of a random instance in rotation, or None if there is none."""
        available = [one for one in self.instances if one.is_in_rotation]
        return rng.choice(available).name if available else None

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

    def server_entry(self, server: Server, instance: str, state="up"):
        return {"id": server.name, "addr": server.addresses[instance], "zone": "edge" if server.kind == "box" else "core",
                "kind": server.kind, "cell": 0, "state": state, "weight": 1, "started_ms": 0}

    def write_config(self, instance: Instance, broken=False):
        """Writes the configuration with all events so far as known; with `broken`, only its first half."""
        watch = instance.watch
        known = {"seq": len(watch.events), "results": [json.loads(watch.event_line(number))
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
            instance.is_in_rotation = False

    async def wait_ready(self, instance, process):
        """Returns True once the process reports ready, False if it or the run ended first."""
        while not self.has_ended and process.ended_at is None:
            text = await self.call_admin(instance, "status", record=False)
            if text is not None and text.startswith("done"):
                process.ready_at = time.monotonic()
                return True
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        return False

    async def call_admin(self, instance, call, record=True):
        """Returns the admin listener's answer to a call, or None if there was none within 3 s."""
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
            self.history.admin_calls.append(AdminCall(instance.name, call, asked_at,
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

    # ---- Readiness checks of the front and the operators, every 0.1 s. ----

    async def poll_readiness(self, instance):
        """Adds a ready instance to the rotation; removes an instance 0.2 s after it reports not ready."""
        while not self.has_ended:
            if instance.processes and instance.current_operation not in ("restart", "upgrade", "kill"):
                text = await self.call_admin(instance, "status")
                is_ready = text is not None and text.startswith("done")
                if not is_ready and instance.is_in_rotation:
                    asyncio.get_event_loop().call_later(0.2, self.remove_from_rotation, instance)
                elif is_ready:
                    instance.is_in_rotation = True
            await asyncio.sleep(READY_POLL_INTERVAL_S * max(1.0, len(self.instances) / MAX_FAST_POLLED))

    def remove_from_rotation(self, instance):
        instance.is_in_rotation = False

    # ---- The day. ----

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def measure_lag(self):
        """Records delays of this event loop, by which the checker extends the time limits."""
        while not self.has_ended:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            lag = time.monotonic() - before - 0.005
            if lag > MIN_RECORDED_LAG_S:
                self.history.lags.append((before, lag))

    async def run(self):
        """Runs the day; returns the names of the instances that failed the final probe."""
        for server in self.servers:
            await server.start()
        for instance in self.instances:
            members = [self.server_entry(server, instance.name) for server in self.servers]
            first = {"fleet": {"version": 1, "full": True, "servers": members}}
            instance.watch = EndpointWatch(instance.name, [(first, lambda name, at: None)])
            await instance.watch.start()
            self.write_config(instance)
            process = await self.start_process(instance)
            self.spawn(self.wait_ready(instance, process))
        started_at = time.monotonic()
        self.started_at = started_at
        for instance in self.instances:
            self.spawn(self.poll_readiness(instance))
        await asyncio.sleep(0.5)
        self.spawn(self.measure_lag())
        for number, behaviour in enumerate(self.day.clients):
            self.spawn(Client(number, self, behaviour).run())
        for fault in self.day.faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            self.spawn(self.inject(fault))
        await asyncio.sleep(max(0.0, started_at + self.day.seconds - time.monotonic()))
        unresponsive = await self.final_probe()
        self.has_ended = True
        self.history.ended_at = time.monotonic()
        await self.clean_up()
        return unresponsive

    async def clean_up(self):
        for child, _, _ in self.running.values():
            if child.returncode is None:
                child.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            server.terminate()

    async def final_probe(self):
        """Returns the instances that report ready but do not answer a health request."""
        unresponsive = []
        for instance in self.instances:
            if not instance.is_in_rotation or instance.current_operation:
                continue
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, instance.port)
                writer.write(encode(["RPC.HEALTH", "1", ""]))
                words = await asyncio.wait_for(read_response(reader), 2.0)
                writer.close()
                if words[1] != b"healthy":
                    unresponsive.append(instance.name)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                unresponsive.append(instance.name)
        return unresponsive

    # ---- Faults. ----

    async def inject(self, fault: Fault):
        instance = self.instances[fault.instance]
        server = self.servers[fault.server % len(self.servers)]
        name = instance.name if fault.kind in OPERATIONS or fault.kind.startswith(("watch", "clock", "calls")) else server.name
        self.history.faults.append((time.monotonic(), f"{fault.kind} {name} for {fault.duration:.1f} s"))
        if fault.kind in OPERATIONS:
            if instance.current_operation or not instance.processes:
                return
            # Any other operation may run during a standby.
            instance.current_operation = fault.kind if fault.kind != "standby" else ""
            try:
                await getattr(self, "inject_" + fault.kind)(instance, fault)
            finally:
                instance.current_operation = ""
        elif fault.kind.startswith("server_"):
            await self.inject_server(server, fault)
        else:
            await getattr(self, "inject_" + fault.kind)(instance, fault)

    async def inject_standby(self, instance, fault, duration=6.0):
        if instance.standby_since is not None:
            return
        called_at = instance.standby_since = time.monotonic()
        if await self.call_admin(instance, "standby") != "done standby":
            instance.standby_since = None
            return
        await asyncio.sleep(duration)
        until = time.monotonic()
        instance.standby_since = None
        self.history.standbys.append(Standby(instance.name, called_at, until, "active"))
        await self.call_admin(instance, "active")

    async def inject_standby_cut(self, instance, fault):
        """Three standby periods in a row, each ended early by the next call."""
        for number in range(3):
            await self.inject_standby(instance, fault, duration=0.1 + fault.duration / (number + 1))
            await asyncio.sleep(0.2)

    async def inject_reload(self, instance, fault):
        for _ in range(3):
            self.write_config(instance)
            self.signal(instance.processes[-1], signal.SIGHUP)
            await asyncio.sleep(0.1)

    async def inject_reload_bad(self, instance, fault):
        self.write_config(instance, broken=True)
        self.signal(instance.processes[-1], signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.write_config(instance)

    def kill_timeout(self) -> float:
        """Returns the seconds between SIGTERM and SIGKILL."""
        longest = max(deadline for *_, deadline in self.day.classes)
        return min(longest, MAX_DEADLINE_BEFORE_KILL_S) + KILL_MARGIN_S

    async def stop_process(self, process, signals=STOP_SIGNALS[0]):
        """Sends the signals, SIGTERM among them, then SIGKILL at the earliest time that the operators' page allows.

        Clients go on using their connections.
        """
        process.sigterm_at = time.monotonic()
        for number in signals:
            self.signal(process, number)
        end = process.sigterm_at + self.kill_timeout()
        while process.ended_at is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.kill(process)

    async def inject_restart(self, instance, fault):
        process = instance.processes[-1]
        asyncio.get_event_loop().call_later(0.3, self.remove_from_rotation, instance)
        await self.stop_process(process, STOP_SIGNALS[fault.choice % len(STOP_SIGNALS)])
        while process.ended_at is None:
            await asyncio.sleep(0.02)
        await self.start_replacement(instance)

    async def start_replacement(self, instance):
        self.write_config(instance)
        process = await self.start_process(instance)
        if await self.wait_ready(instance, process):
            instance.is_in_rotation = True

    async def inject_upgrade(self, instance, fault):
        old = instance.processes[-1]
        self.write_config(instance)
        process = await self.start_process(instance)
        if await self.wait_ready(instance, process):
            await self.stop_process(old)

    async def inject_kill(self, instance, fault):
        process = instance.processes[-1]
        self.kill(process)
        while process.ended_at is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        await self.start_replacement(instance)

    async def inject_pause(self, instance, fault):
        process = instance.processes[-1]
        duration = min(fault.duration, 1.0)
        since = time.monotonic()
        process.pauses.append((since, since + duration + 0.2))  # 0.2 s more for catching up afterwards
        self.signal(process, signal.SIGSTOP)
        await asyncio.sleep(duration)
        self.signal(process, signal.SIGCONT)

    async def inject_server(self, server, fault):
        behaviour = server.behaviour
        kind = fault.kind.removeprefix("server_")
        if kind == "dies":
            if server.kind == "box" and sum(one.is_up for one in self.servers if one.kind == "box") > 2:
                server.terminate()
                self.publish_server_state(server, "removed")
            return
        if kind == "drains":
            if server.kind != "box" or not server.is_up or server.is_draining:
                return
            server.is_draining = True
            drain = Drain(server.name, time.monotonic())
            self.history.drains.append(drain)
            self.publish_server_state(server, "draining", lambda name,
                                      at: drain.received_at.setdefault(name, at))
            await asyncio.sleep(fault.duration + 3)
            server.is_draining = False
            if server.is_up:
                drain.up_again_at = time.monotonic()
                self.publish_server_state(server, "up")
            return
        changes = {"hang": ("is_hanging", True), "silent": ("is_silent", True), "busy": ("busy_chance", 0.5),
                   "error": ("error_chance", 0.3), "reset": ("reset_chance", 0.3), "cut": ("cut_chance", 0.3),
                   "pieces": ("splits_responses", True), "slow": ("delay", 0.3), "twice": ("repeat_chance", 0.3),
                   "early_reset": ("early_reset_chance", 0.3)}
        attribute, value = changes[kind]
        setattr(behaviour, attribute, value)
        await asyncio.sleep(fault.duration)
        setattr(behaviour, attribute, getattr(ServerBehaviour(), attribute))
        if kind == "silent":  # the server is back and has lost the state of its connections
            server.reset_connections()

    def publish_server_state(self, server, state, on_written=lambda name, at: None):
        for instance in self.instances:
            event = {"fleet": {"version": len(instance.watch.events) + 1, "full": False,
                               "servers": [self.server_entry(server, instance.name, state)]}}
            instance.watch.publish(event, on_written)

    async def inject_purge(self, instance, fault):
        object_id = f"{1 + fault.choice % 400:016x}" if fault.choice % 3 else f"{1 + fault.choice % 5:016x}"
        now = time.time()
        purge = Purge(object_id, time.monotonic(), int(now * 1000))
        self.history.purges.append(purge)
        for one in self.instances:
            one.watch.publish({"invalidate": {"object": object_id, "time": purge.time}},
                           lambda name, at: purge.received_at.setdefault(name, at))
        for server in self.servers:
            await asyncio.sleep(0.05)
            asyncio.get_event_loop().call_later(self.random.random() * 4, server.purge, object_id)

    async def inject_watch_stall(self, instance, fault):
        instance.watch.is_stalled = True
        await asyncio.sleep(fault.duration)
        instance.watch.is_stalled = False

    async def inject_watch_cut(self, instance, fault):
        instance.watch.is_down = True
        instance.watch.cut(fault.choice % 2 == 0)
        await asyncio.sleep(fault.duration)
        instance.watch.is_down = False

    async def inject_clock(self, instance, fault):
        """Steps the wall clock of the processes by an hour or by 5 s."""
        step = [3600, -3600, 5, -5][fault.choice % 4]
        for process in instance.processes:
            struct.pack_into("<q", self.running[process.number][1], 0, step * 1_000_000)

    async def inject_calls(self, instance, fault):
        """Makes the next 1 to 8 calls of one system call fail."""
        call = list(CALL_ERRORS)[fault.choice % len(CALL_ERRORS)]
        error = CALL_ERRORS[call][fault.choice // 7 % len(CALL_ERRORS[call])]
        for process in instance.processes:
            struct.pack_into("<ii", self.running[process.number][1], 8 + 8 * CALLS.index(call), error,
                             1 + fault.choice % 8)

    async def inject_crowd(self, instance, fault):
        """Opens 200 connections at once and keeps them idle."""
        writers = []
        try:
            for _ in range(200):
                _, writer = await asyncio.open_connection(*self.address(instance.name))
                writers.append(writer)
            await asyncio.sleep(fault.duration)
        except OSError:
            pass
        for writer in writers:
            writer.close()


# Fault kinds that are operations of the operators on an instance.
OPERATIONS = {"standby", "standby_cut", "reload", "reload_bad", "restart", "upgrade", "kill", "pause"}

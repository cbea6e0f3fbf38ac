"""Stand-ins for the platform: change log, shop caches and clients, after PROTOCOL and users/PROTOCOL."""
import json
import os
import socket
import threading
import time

from standins import HOST, CannotRun, Listener

SETTINGS = {
    "areas": ["core", "edge"], "kinds": ["small-box", "parent", "origin"], "zone": "edge", "instances": 1, "me": 0,
    "tickMs": 2.0, "registryMode": "automatic", "weights": "off", "stage": 0, "stages": ["shop-cache"],
    "lanes": [
        {"name": "scans", "effect": "repeatable", "keyScope": "all", "promiseMs": 400.0, "aimStretch": 2.0,
         "giveUpMs": 6000.0, "lateShare": 0.15, "credit": 2.0, "streaming": False, "windowMs": 5000.0},
        {"name": "pages", "effect": "repeatable", "keyScope": "all", "promiseMs": 400.0, "aimStretch": 2.0,
         "giveUpMs": 2500.0, "lateShare": 0.2, "credit": 1.0, "streaming": False, "windowMs": 5000.0},
        {"name": "orders", "effect": "by_key", "keyScope": "all", "promiseMs": 800.0, "giveUpMs": 3000.0,
         "lateShare": 0.0, "credit": 3.0, "streaming": False, "windowMs": 6000.0}],
    "familyInfo": {
        "midKind": 1, "sourceKind": 2, "siblings": "any", "detail": "hit", "passThroughOk": True, "canJoin": True,
        "classWrite": [False, False, True], "maxAgeMs": [0.0, 12000.0, 0.0], "classGraceMs": [0.0, 0.0, 0.0],
        "instancesByZone": [0, 1], "paceKbPerS": 6400.0, "purgeSlackMs": 1000.0, "goneEverywhereMs": 6000.0,
        "parentColdFrom": 0.081, "upperColdMs": 22000.0, "upperFallMultiple": 2.0},
    "limits": {"maxAttempts": 8, "cancel": True, "connectTimeoutMs": 400.0, "retryAfter": True, "maxRetryAfterMs": 2000.0,
               "idleCloseMs": 30000.0, "streamsPerConn": 100, "mayDuplicate": False},
    "report": {"how": "off"},
    "rules": {"coldShare": 0.18, "warmAfterMs": 16000.0, "fallMultiple": 2.5, "tipAfterMs": 3000.0, "drainGraceMs": 500.0,
              "graceToAnswerMs": 8.0, "askWithinMs": 10000.0}}


class ChangeLog:
    """The change log of one doorman, without changes: the last number each second."""

    def __init__(self, last=1):
        self.last = last
        self.listener = Listener(self.serve)

    def serve(self, connection):
        connection.makefile("rb").readline()
        while True:
            time.sleep(1)
            connection.sendall(f"{self.last}\n".encode())


class Cache:
    """A shop cache, parent or origin. answer(reference, fields, body) returns the bytes of the answer, or None."""

    def __init__(self, name, kind, record, answer):
        self.name = name
        self.kind = kind
        self.record = record
        self.answer = answer
        self.requests = 0
        self.lock = threading.Lock()
        self.listener = Listener(self.serve)

    def entry(self):
        zone = "edge" if self.kind == "small-box" else "core"
        return {"id": self.name, "addr": self.listener.address, "zone": zone, "kind": self.kind, "cell": 0, "state": "up",
                "weight": 1, "started_ms": 0}

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            line = stream.readline()
            if not line:
                return
            words = line.decode().split()
            if not words or words[0] == "STOP":
                continue
            if words[0] in ("HELO", "STAT"):
                connection.sendall(f"{words[1]} UP - 0\r\n\r\n".encode())
                continue
            body = stream.read(int(words[3]) + 2)[:-2]
            fields = dict(part.split("=", 1) for part in words[2].split(",") if "=" in part)
            with self.lock:
                self.requests += 1
            self.record(self.name, f"received {line.decode().strip()}")
            data = self.answer(words[1], fields, body)
            if data is not None:
                connection.sendall(data)


def ok(reference, body):
    """A shop cache's answer: served, from a fresh copy."""
    head = f"{reference} OK entity={reference},issued={int(time.time() * 1000)},detail=local {len(body)}\r\n"
    return head.encode() + body + b"\r\n"


def write_config(folder, name, port, change_log, servers, limits=None, settings=None):
    known = {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": True, "servers": [one.entry() for one in servers]}}]}
    config = {"name": name, "listen": f"{HOST}:{port}", "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})},
              "changelog": change_log.listener.address, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
              "known": known, "settings": settings or SETTINGS}
    path = os.path.join(folder, name + ".json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(config, file, indent=1)
    return path, {"PROXY_NAME": name, "PROXY_LISTEN": f"{HOST}:{port}", "PROXY_CONFIG": path}


def encode(*words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        data = word if isinstance(word, bytes) else str(word).encode()
        out += b"$%d\r\n%s\r\n" % (len(data), data)
    return out


class Client:
    """One connection of a client."""

    def __init__(self, port, receive_buffer=0):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(10)
        self.socket.connect((HOST, port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb", buffering=0)

    def call(self, tag, queue, reference, allow, body=b"", **fields):
        text = f"ref={reference},allow={allow}" + "".join(f",{key}={value}" for key, value in fields.items())
        self.socket.sendall(encode("RPC.CALL", tag, queue, text, body))

    def read_exactly(self, count):
        data = bytearray()
        while len(data) < count:
            part = self.stream.read(count - len(data))
            if not part:
                raise EOFError
            data += part
        return bytes(data)

    def read_line(self):
        data = bytearray()
        while not data.endswith(b"\r\n"):
            data += self.read_exactly(1)
        return bytes(data[:-2])

    def answer(self):
        """Reads one answer: tag, word, fields, body."""
        if self.read_line() != b"*4":
            raise ValueError("not an answer")
        words = []
        for _ in range(4):
            length = int(self.read_line()[1:])
            words.append(self.read_exactly(length))
            self.read_exactly(2)
        return words[0].decode(), words[1].decode(), words[2].decode(), words[3]

    def close(self):
        self.stream.close()
        self.socket.close()


def wait_until_healthy(port, seconds=10):
    end = time.time() + seconds
    while time.time() < end:
        try:
            client = Client(port)
            client.socket.sendall(encode("RPC.HEALTH", 1, ""))
            _, word, _, _ = client.answer()
            client.close()
            if word == "healthy":
                return
        except (OSError, EOFError, ValueError):
            pass
        time.sleep(0.05)
    raise CannotRun(f"the doorman at port {port} was not healthy within {seconds} s")

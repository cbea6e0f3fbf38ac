"""Small stand-ins and helpers for the review's cases. Standard library only, loopback addresses only."""
import json
import os
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run_command():
    """The `run` command of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)


class Record:
    """record.txt: a line for everything that was sent, answered and run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, who, text):
        with self.lock:
            self.file.write(f"{time.time() - self.start:9.3f} {who}: {text}\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not be set up or its outcome could not be seen."""


def free_port(kind=socket.SOCK_STREAM):
    """A port below the ephemeral range on which nothing listens."""
    while True:
        port = secrets.choice(range(10_000, 32_000))
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


class Programs:
    """The project's processes. End() kills all that still run."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.running = []

    def start(self, name, arguments="", environment=None):
        log = open(os.path.join(self.folder, f"{name}.{len(self.running)}.log"), "wb")
        command = run_command() + arguments
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                   env={**os.environ, "TMPDIR": self.folder, **(environment or {})})
        log.close()
        self.running.append(process)
        self.record("platform", f"started {name} as process {process.pid}: {command}")
        return process

    def end(self):
        for process in self.running:
            if process.poll() is None:
                process.kill()
            process.wait()


class Listener:
    """Accepts connections and runs serve(connection) in a thread for each."""

    def __init__(self, serve, port=0):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, port))
        self.socket.listen(512)
        self.port = self.socket.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self.serve = serve
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.serve(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.close()


# ---- HTTP: messages, servers, Consul. ----

def read_http(stream):
    """Reads one message whose body, if any, has a Content-Length: (first line, header fields, body)."""
    first = stream.readline()
    if not first:
        raise EOFError
    fields = {}
    while True:
        line = stream.readline()
        if not line:
            raise EOFError
        if line == b"\r\n":
            break
        name, _, value = line.decode().partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        raise EOFError
    return first.decode().strip(), fields, body


def http_response(status, body, fields=""):
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


class HttpServer:
    """An HTTP/1.1 server. answer(number, method, path, fields, body) returns the bytes to write, in one write."""

    def __init__(self, name, record, answer):
        self.name = name
        self.record = record
        self.answer = answer
        self.requests = 0
        self.connections = 0
        self.lock = threading.Lock()
        self.listener = Listener(self.serve)

    def serve(self, connection):
        with self.lock:
            self.connections += 1
            connection_number = self.connections
        stream = connection.makefile("rb")
        while True:
            first, fields, body = read_http(stream)
            method, target, _ = first.split(" ")
            path = re.sub(r"[?&]URISigningPackage=[^&]*", "", target)
            with self.lock:
                self.requests += 1
                number = self.requests
            self.record(self.name, f"received {method} {path} on connection {connection_number}")
            connection.sendall(self.answer(number, method, path, fields, body))


class Consul:
    """Consul's health and catalog queries for a fixed list of passing servers: {service: [(node, port)]}."""

    def __init__(self, services):
        self.services = services
        self.listener = Listener(self.serve)

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            first, _, _ = read_http(stream)
            target = first.split(" ")[1]
            service = target.split("?")[0].rsplit("/", 1)[1]
            if target.startswith("/v1/health/"):
                if "index=0&" not in target:
                    time.sleep(1000)  # nothing changes
                body = [{"Node": {"Node": node}, "Service": {"ID": "c"},
                         "Checks": [{"CheckID": "service:c", "Status": "passing"}]} for node, _ in self.services[service]]
            else:
                body = [{"Node": node, "Address": HOST, "ServiceID": "c", "ServiceAddress": "", "ServicePort": port,
                         "ServiceMeta": {}, "ServiceWeights": {"Passing": 1}} for node, port in self.services[service]]
            connection.sendall(http_response("200 OK", json.dumps(body).encode(), "X-Consul-Index: 5\r\n"))


class HttpClient:
    """A client with one connection."""

    def __init__(self, port):
        self.socket = socket.create_connection((HOST, port), timeout=10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")

    def call(self, method, path, body=b"", fields="", host="scans.example.is"):
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        self.socket.sendall(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}{length}\r\n".encode() + body)
        first, answered, content = read_http(self.stream)
        return int(first.split(" ")[1]), answered, content

    def close(self):
        self.stream.close()
        self.socket.close()


GATEWAY_SETTINGS = {
    "areas": ["core", "edge"], "kinds": ["box", "store"], "zone": "edge", "instances": 1, "me": 0, "tickMs": 2.0,
    "lanes": [
        {"name": "scans", "effect": "repeatable", "keyScope": "all", "promiseMs": 400.0, "aimStretch": 2.0,
         "giveUpMs": 6000.0, "lateShare": 0.15, "credit": 2.0, "windowMs": 5000.0},
        {"name": "pages", "effect": "repeatable", "keyScope": "all", "promiseMs": 400.0, "aimStretch": 2.0,
         "giveUpMs": 2500.0, "lateShare": 0.2, "credit": 1.0, "windowMs": 5000.0},
        {"name": "orders", "effect": "by_key", "keyScope": "all", "promiseMs": 800.0, "giveUpMs": 3000.0,
         "lateShare": 0.0, "credit": 3.0, "windowMs": 6000.0}],
    "familyInfo": {
        "midKind": -1, "sourceKind": 1, "siblings": "location", "detail": "hit", "passThroughOk": True, "canJoin": True,
        "classWrite": [False, False, True], "maxAgeMs": [0.0, 12000.0, 0.0], "classGraceMs": [0.0, 0.0, 0.0],
        "instancesByZone": [0, 1], "paceKbPerS": 6400.0, "purgeSlackMs": 1000.0, "goneEverywhereMs": 6000.0},
    "limits": {"maxAttempts": 8, "cancel": True, "connectTimeoutMs": 400.0, "retryAfter": True, "maxRetryAfterMs": 2000.0,
               "idleCloseMs": 30000.0, "streamsPerConn": 1},
    "rules": {"coldShare": 0.18, "warmAfterMs": 16000.0, "fallMultiple": 2.5, "tipAfterMs": 3000.0, "drainGraceMs": 500.0,
              "graceToAnswerMs": 8.0},
    "weights": "off", "registryMode": "automatic"}

OPERATOR_TOKEN = "an operator's long token"


def write_gateway(folder, name, listen_port, consul, more=None):
    """Writes a gateway's file, in the form of deploy/gateway.json, and the files that it names. Returns its path."""
    keys = {"kty": "oct", "kid": "shops-1", "alg": "HS256", "k": "A" * 86}
    home = os.path.join(folder, name)
    os.makedirs(home)
    config = {"name": name, "listen": f"{HOST}:{listen_port}", "limits": {"memory_mb": 192, "sockets": 1024},
              "origin": "https://scans.example.is", "audience": "north", "keys_file": "keys.json",
              "signing_key_file": "own.json", "operator_token_file": "operator.token", "clock_leeway_ms": 5000,
              "stall_ms": 10000, "most_body_bytes": 48000,
              "routes": [{"class": "scans", "path": "/scans/", "access": "open"},
                         {"class": "pages", "path": "/pages/", "access": "open"},
                         {"class": "orders", "path": "/orders", "access": "open"}],
              "consul": {"address": consul, "wait_ms": 30000, "zone": "edge",
                         "services": [{"name": "shop-cache", "kind": "box"}, {"name": "main-stock", "kind": "store"}]},
              "settings": GATEWAY_SETTINGS, **(more or {})}
    for file_name, text in [("gateway.json", json.dumps(config, indent=1)), ("keys.json", json.dumps({"keys": [keys]})),
                            ("own.json", json.dumps({**keys, "kid": "own-1"})), ("operator.token", OPERATOR_TOKEN)]:
        with open(os.path.join(home, file_name), "w", encoding="utf-8") as file:
            file.write(text)
    return os.path.join(home, "gateway.json")


def wait_until_ready(port, seconds=10):
    """Waits until the gateway answers its health check with 200."""
    end = time.time() + seconds
    while time.time() < end:
        try:
            client = HttpClient(port)
            status, _, _ = client.call("GET", "/-/healthy")
            client.close()
            if status == 200:
                return
        except (OSError, EOFError):
            pass
        time.sleep(0.05)
    raise CannotRun(f"the gateway at port {port} was not ready within {seconds} s")


def main(play):
    """Runs play(record, folder, programs, trouble), which returns the broken rules. Exits with 0, 1 or 2."""
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(case)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", f"TROUBLE={int(trouble)}")
    folder = tempfile.mkdtemp(prefix="tinspan-review-")
    programs = Programs(record, folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        broken = play(record, folder, programs, trouble)
        for text in broken:
            record("broken", text)
            print("broken:", text)
        code = 1 if broken else 0
    except (CannotRun, OSError, EOFError) as error:
        record("case", f"could not run: {error!r}")
        print("could not run:", repr(error))
    finally:
        programs.end()
        if os.environ.get("KEEP"):
            print("kept", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record("case", f"exit {code}")
    os._exit(code)

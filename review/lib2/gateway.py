"""Stand-ins around a gateway: Consul (catalogue and health), HTTP servers and HTTP clients. Loopback and free ports
only; the gateway's folder is made by the program's own `init gateway` and changed to those ports."""
import asyncio
import json
import os
import socket
import time

import rig

AUTHORITY = "scans.example.is"


class Consul:
    """Consul's health and catalogue calls for fixed nodes; blocking queries wait for their time."""

    def __init__(self):
        self.services = {}  # name: list of (node, port)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, rig.HOST, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path, _, query = head.split()[1].partition("?")
                nodes = self.services.get(path.rsplit("/", 1)[1], [])
                if path.startswith("/v1/health/"):
                    arguments = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
                    if arguments.get("index", "0") != "0":
                        await asyncio.sleep(float(arguments.get("wait", "5s").rstrip("s")))
                    body = [{"Node": {"Node": node}, "Service": {"ID": "c"},
                             "Checks": [{"CheckID": "service:c", "Status": "passing"}]} for node, _ in nodes]
                else:
                    body = [{"Node": node, "Address": rig.HOST, "ServiceID": "c", "ServiceAddress": "",
                             "ServicePort": port, "ServiceMeta": {}, "ServiceWeights": {"Passing": 1}}
                            for node, port in nodes]
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class WebServer:
    """A shop cache, hub cache or main stock that speaks HTTP/1.1. `handle(server, request)` returns (status,
    fields, body) or None to answer nothing; an exception resets the connection."""

    def __init__(self, name, handle):
        self.name, self.handle = name, handle

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, rig.HOST, 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if line}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                request = {"method": method, "target": target, "path": target.split("?")[0], "fields": fields,
                           "body": body, "server": self.name}
                answer = await self.handle(self, request)
                if answer is None:
                    await reader.read()
                    return
                status, more, content = answer
                writer.write(f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(content)}\r\n\r\n".encode() + content)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class GatewayWorld:
    """Consul, one cache, one hub cache, the main stock, and gateways started with the deploy file's command."""

    def __init__(self, folder, handle):
        self.folder = folder
        self.servers = {"shop-cache": WebServer("shop-cache", handle), "hub-cache": WebServer("hub-cache", handle),
                        "main-stock": WebServer("main-stock", handle)}
        self.consul = Consul()

    async def start(self):
        await self.consul.start()
        for name, server in self.servers.items():
            await server.start()
            self.consul.services[name] = [(name, server.port)]

    async def add_gateway(self, name, change=lambda config: None):
        """Writes the folder of a gateway and starts it; waits until it is ready."""
        folder = os.path.join(self.folder, name)
        process = await asyncio.create_subprocess_exec(
            os.path.join(rig.ROOT, "build", "tinspan"), "init", "gateway", cwd=self._folder_for(name),
            stdout=asyncio.subprocess.DEVNULL)
        if await process.wait() != 0:
            raise RuntimeError("init gateway failed")
        file = os.path.join(folder, "gateway", "gateway.json")
        with open(file, encoding="utf-8") as text:
            config = json.load(text)
        port = rig.free_port()
        config.update(name=name, listen=f"{rig.HOST}:{port}")
        config["consul"].update(address=self.consul.address, wait_ms=5000)
        for route in config["routes"]:
            route["access"] = "open"
        for key in ("ops", "members", "leases"):
            config.pop(key, None)
        change(config)
        with open(file, "w", encoding="utf-8") as text:
            json.dump(config, text)
        gateway = rig.Doorman(folder, {}, name=name, command=f"{rig.run_command()} -f {file}")
        gateway.port = port
        with open(os.path.join(folder, "gateway", "operator.token"), encoding="utf-8") as text:
            gateway.operator_token = text.read().strip()
        await self.start_gateway(gateway)
        return gateway

    def _folder_for(self, name):
        folder = os.path.join(self.folder, name)
        os.makedirs(folder, exist_ok=True)
        return folder

    async def start_gateway(self, gateway):
        await gateway.start()
        end = time.monotonic() + 10
        while time.monotonic() < end:
            try:
                client = await WebClient(gateway.port).connect()
                client.send("GET", "/-/healthy")
                status, _, _ = await asyncio.wait_for(client.response(), 1)
                client.close()
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError("the gateway is not ready")


class WebClient:
    """A connection to a gateway."""

    def __init__(self, port):
        self.port = port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(rig.HOST, self.port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def send(self, method, target, fields="", body=b""):
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: {AUTHORITY}\r\n{fields}{length}\r\n".encode() + body)

    async def response(self):
        """The next response: (status, fields, body). Raises IncompleteReadError if the connection ends first."""
        while True:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split()[1])
            if status >= 200:
                break
        fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip()
                  for line in head.split("\r\n")[1:] if line}
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        return status, fields, body

    def close(self):
        self.writer.transport.abort()

"""A server answers one request twice. Whose answer do the next clients get?"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import (CannotRun, Consul, HttpClient, HttpServer, free_port, http_response, main, wait_until_ready,
                      write_gateway)

REQUESTS = 20
SPOILT = "/scans/estate-5/book.jpg"  # the request whose answer comes twice, in one write


def play(record, folder, programs, trouble):
    spoilt = []

    def answer(number, method, path, fields, body):
        if method == "POST":
            response = http_response("201 Created", f"reserved for {fields['idempotency-key']}".encode())
        else:
            response = http_response("200 OK", f"the bytes of {path}".encode(), "Cache-Status: shop; hit\r\nAge: 1\r\n")
        if trouble and path == SPOILT and not spoilt:
            spoilt.append(path)
            record("server", f"answers {path} a second time")
            return response + response
        return response

    servers = {name: HttpServer(name, record, answer) for name in ("shop-1", "stock-1")}
    consul = Consul({"shop-cache": [("shop-1", servers["shop-1"].listener.port)],
                     "main-stock": [("stock-1", servers["stock-1"].listener.port)]})
    port = free_port()
    path = write_gateway(folder, "gateway-north", port, consul.listener.address)
    programs.start("gateway-north", f" -f {path}")
    wait_until_ready(port)
    broken, served = [], 0
    for number in range(1, REQUESTS + 1):
        client = HttpClient(port)  # each request is another client's, on a connection of its own
        if number % 4 == 0:
            target, own = f"/orders/{number}", f"reserved for order-{number}"
            status, _, body = client.call("POST", target, b"one copy", f"Idempotency-Key: order-{number}\r\n")
        else:
            target = f"/scans/estate-{number}/book.jpg"
            own = f"the bytes of {target}"
            status, _, body = client.call("GET", target)
        client.close()
        record(f"client {number}", f"asked for {target}, got {status} with {body.decode()!r}")
        served += status in (200, 201)
        if status in (200, 201) and body.decode() != own:
            broken.append(f"client {number} asked for {target} and was served with {body.decode()!r}")
        time.sleep(0.1)
    if served < REQUESTS / 2:
        raise CannotRun(f"{served} of {REQUESTS} requests were served")
    return broken


main(play)

"""A client that reads 1 MB a second when its doorman is sent to standby. Do its requests get their whole answers?"""
import os
import secrets
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from doorman import Cache, ChangeLog, Client, ok, wait_until_healthy, write_config
from standins import HOST, CannotRun, free_port, main

BODY_BYTES = 240_000  # an object holds 240,000 bytes at most
OPEN = 32  # requests on one connection at most
PAUSE_S = 0.15  # between two requests
READ_BYTES_PER_S = 1_000_000
GIVE_UP_MS = 6000
STANDBY_AT_S = 3.0
SEND_S = 5.0


def play(record, folder, programs, trouble):
    body = b"x" * BODY_BYTES
    names = [(f"s-{number}", "small-box") for number in range(1, 10)] + [("p-1", "parent"), ("p-2", "parent"), ("o-1", "origin")]
    servers = [Cache(name, kind, record, lambda reference, fields, _: ok(reference, body)) for name, kind in names]
    port, ops = free_port(), free_port()
    _, environment = write_config(folder, "n0", port, ChangeLog(), servers)
    programs.start("n0", environment={**environment, "PROXY_OPS": f"{HOST}:{ops}"})
    wait_until_healthy(port)
    client = Client(port, receive_buffer=65536)
    client.socket.settimeout(30)
    start = time.time()
    sent, answered, ended, standby_at = {}, {}, [], []  # by tag: when
    is_over = threading.Event()

    def send():
        tag = 0
        while not ended and time.time() - start < SEND_S:
            if len(sent) - len(answered) < OPEN:
                tag += 1
                reference = secrets.token_hex(8)
                sent[str(tag)] = time.time()
                record("client", f"sends request {tag}, ref {reference}")
                try:
                    client.call(tag, "scans", reference, GIVE_UP_MS, lookup=secrets.token_hex(8), block=0, family=tag, room=500)
                except OSError as error:
                    record("client", f"request {tag} was not written: {error!r}")
                    del sent[str(tag)]
                    return
            time.sleep(PAUSE_S)
        is_over.set()

    def operate():
        time.sleep(max(0.0, start + STANDBY_AT_S - time.time()))
        with socket.create_connection((HOST, ops), timeout=5) as door:
            standby_at.append(time.time())
            door.sendall(b"standby\n")
            record("operator", f"standby, answered {door.recv(100)!r}")

    threading.Thread(target=send, daemon=True).start()
    if trouble:
        threading.Thread(target=operate, daemon=True).start()
    buffer, received = bytearray(), 0

    def need(count):
        nonlocal received
        while len(buffer) < count:
            while received + 16384 > (time.time() - start) * READ_BYTES_PER_S:
                time.sleep(0.003)
            part = client.socket.recv(16384)
            if not part:
                raise EOFError("the end of the connection")
            received += len(part)
            buffer.extend(part)

    def take(count):
        need(count)
        data = bytes(buffer[:count])
        del buffer[:count]
        return data

    def line():
        while (end := buffer.find(b"\r\n")) < 0:
            need(len(buffer) + 1)
        return take(end + 2)[:-2]

    try:
        while not (is_over.is_set() and len(answered) == len(sent)):
            line()
            words = []
            for _ in range(4):
                words.append(take(int(line()[1:])))
                take(2)
            answered[words[0].decode()] = time.time()
            record("client", f"read the answer to request {words[0].decode()}: {words[1].decode()}, {len(words[3])} bytes")
    except (OSError, EOFError) as error:
        ended.append(time.time())
        record("client", f"its connection ended: {error!r}, {received} bytes read")
    time.sleep(PAUSE_S * 2)
    if trouble and not standby_at:
        raise CannotRun("the standby was not called")
    # Only what was sent before the standby was called, and less than 6 s before the end of the connection.
    before = standby_at[0] if trouble else time.time()
    lost = [tag for tag, at in sent.items() if tag not in answered and at < before and (not ended or ended[0] - at < GIVE_UP_MS / 1000)]
    record("case", f"sent {len(sent)}, answered {len(answered)}, lost {lost}")
    if not lost:
        return []
    return [f"{len(lost)} requests that were taken before the standby got no whole answer: {', '.join(lost)}; their connection "
            f"ended {ended[0] - standby_at[0]:.2f} s after the call" if ended and trouble else f"no answer to {lost}"]


main(play)

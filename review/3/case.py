"""Some clients read 1 MB a second. Does each request that was taken get its whole answer?"""
import os
import secrets
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from doorman import Cache, ChangeLog, Client, ok, wait_until_healthy, write_config
from standins import free_port, main

SLOW = 10  # clients that read 1 MB a second
FAST = 10  # clients that read at full speed
OPEN = 32  # requests on one connection at most
RATE = 130  # requests a second, all clients together
SLOW_RATE = 80  # of them from the slow clients
MEMORY_MB = 96
BODY_BYTES = 240_000  # an object holds 240,000 bytes at most
SEND_S = 20.0  # for how long requests are sent
READ_BYTES_PER_S = 1_000_000  # by each slow client
GIVE_UP_MS = 6000


class ReadingClient:
    """Keeps up to 32 requests open, reads steadily, and counts the answers that came whole."""

    def __init__(self, number, port, record, is_slow):
        self.name = f"{'slow' if is_slow else 'fast'} client {number}"
        self.record = record
        self.is_slow = is_slow
        self.connection = Client(port, receive_buffer=65536)
        self.open = {}  # tag: (reference, when it was sent)
        self.lock = threading.Lock()
        self.words = {"done": 0, "later": 0, "error": 0}
        self.sent = 0
        self.received = 0
        self.ended = ""
        self.ended_at = 0.0
        self.started = time.time()
        threading.Thread(target=self.read, daemon=True).start()

    def send(self):
        """Sends one request, unless 32 are open or the connection has ended."""
        with self.lock:
            if self.ended or len(self.open) >= OPEN:
                return
            self.sent += 1
            tag, reference = str(self.sent), secrets.token_hex(8)
            self.open[tag] = (reference, time.time())
        try:
            self.connection.call(tag, "scans", reference, GIVE_UP_MS, lookup=secrets.token_hex(8), block=0,
                                 family=int(tag) % 256, room=500)
        except OSError:  # not written whole: not taken; the end is seen by the reader
            with self.lock:
                self.open.pop(tag, None)

    def lost(self):
        """References of the requests without a whole answer. Where the connection has ended, only of those that were
        sent within the last 6 s before its end, for which the client waited by any reading of the page."""
        return [reference for reference, sent_at in self.open.values()
                if not self.ended or self.ended_at - sent_at < GIVE_UP_MS / 1000]

    def receive(self, size):
        """Waits until the client may read so many bytes more, then reads at most as many."""
        while self.is_slow:
            if self.received + size <= (time.time() - self.started) * READ_BYTES_PER_S:
                break
            time.sleep(0.004)
        part = self.connection.socket.recv(size)
        if not part:
            raise EOFError
        self.received += len(part)
        return part

    def read(self):
        buffer = bytearray()

        def need(count):
            while len(buffer) < count:
                buffer.extend(self.receive(16384))

        def take(count):
            need(count)
            data = bytes(buffer[:count])
            del buffer[:count]
            return data

        def line():
            while (end := buffer.find(b"\r\n")) < 0:
                need(len(buffer) + 1)
            return take(end + 2)[:-2]

        self.connection.socket.settimeout(60)
        try:
            while True:
                if line() != b"*4":
                    raise ValueError("not an answer")
                words = []
                for _ in range(4):
                    words.append(take(int(line()[1:])))
                    take(2)
                with self.lock:
                    self.open.pop(words[0].decode())
                    self.words[words[1].decode()] += 1
                if words[1] == b"done" and len(words[3]) != BODY_BYTES:
                    raise ValueError("a body of another length")
        except (OSError, EOFError, ValueError, KeyError) as error:
            with self.lock:
                self.ended_at = time.time()
                self.ended = f"{error!r} {time.time() - self.started:.2f} s after it began, {self.received} bytes read"
            self.record(self.name, f"its connection ended: {self.ended}; open: {len(self.open)}")


def play(record, folder, programs, trouble):
    body = b"x" * BODY_BYTES
    names = [(f"s-{number}", "small-box") for number in range(1, 10)] + [("p-1", "parent"), ("p-2", "parent"), ("o-1", "origin")]
    servers = [Cache(name, kind, record, lambda reference, fields, _: ok(reference, body)) for name, kind in names]
    port = free_port()
    _, environment = write_config(folder, "n0", port, ChangeLog(), servers, limits={"memory_mb": MEMORY_MB})
    process = programs.start("n0", environment=environment)
    wait_until_healthy(port)
    clients = [ReadingClient(number, port, record, trouble and number < SLOW) for number in range(SLOW + FAST)]
    start = time.time()
    slow = fast = 0
    for number in range(int(RATE * SEND_S)):
        time.sleep(max(0.0, start + number / RATE - time.time()))
        if (number + 1) * SLOW_RATE // RATE > slow:
            clients[slow % SLOW].send()
            slow += 1
        else:
            clients[SLOW + fast % FAST].send()
            fast += 1
    record("clients", "no more requests are sent")
    # What is open then has to come: at 1 MB a second 32 answers take 8 s, beside the class's 6 s.
    end = time.time() + 6 + OPEN * BODY_BYTES / READ_BYTES_PER_S + 5
    while time.time() < end and any(one.open and not one.ended for one in clients):
        time.sleep(0.05)
    broken = []
    for client in clients:
        with client.lock:
            lost = client.lost()
            record(client.name, f"sent {client.sent}, answered {client.words}, open {len(client.open)}, lost {lost}")
            if lost:
                broken.append(f"{client.name}: {len(lost)} requests that were taken got no whole answer "
                              f"({client.ended or 'nothing came'})")
    if process.poll() is not None:
        broken.append(f"the doorman ended with {process.returncode}")
    with open(os.path.join(folder, "n0.0.log"), encoding="utf-8") as log:
        for text in log:
            if "silent" not in text:
                record("doorman's log", text.strip())
    return broken


main(play)

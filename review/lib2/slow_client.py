"""One client that keeps up to 32 reads open and reads at a given rate. Arguments: port, number of the client, rate in
bytes per second, seconds, milliseconds that it allows. Prints one JSON line: how its requests ended, and the longest
time in which it took nothing although it wanted to read."""
import json
import select
import socket
import sys
import time

port, number, rate, seconds, allow = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]), sys.argv[5]
sock = socket.socket()
sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
sock.connect(("127.0.0.1", port))
sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
start = time.monotonic()
counts, open_tags, tag, buffer, got, pause_until, longest_gap = {}, set(), 0, bytearray(), 0, 0.0, 0.0


def word(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def ask():
    global tag
    tag += 1
    open_tags.add(tag)
    fields = b"ref=%08x%08x,allow=%s,lookup=%08x%08x,block=0,family=1,room=1000" % (
        number + 1, tag, allow.encode(), number + 1, tag)
    sock.sendall(b"*5\r\n" + word(b"RPC.CALL") + word(b"%d" % tag) + word(b"scans") + word(fields) + word(b""))


def take():
    """Takes one whole answer from the buffer; returns its tag, word and fields, or None."""
    position, words = buffer.find(b"\r\n") + 2, []
    if position < 2:
        return None
    for _ in range(4):
        end = buffer.find(b"\r\n", position)
        if end < 0:
            return None
        length = int(buffer[position + 1:end])
        if len(buffer) < end + 2 + length + 2:
            return None
        words.append(bytes(buffer[end + 2:end + 2 + length]) if length < 100 else b"")
        position = end + 2 + length + 2
    del buffer[:position]
    return int(words[0]), words[1].decode(), words[2].decode()


ask_at = []  # when a request may follow each answered one: the client heeds `cooldown`
for _ in range(32):
    ask()
ended, last_read = None, time.monotonic()
try:
    while open_tags or time.monotonic() - start < seconds:
        now = time.monotonic()
        is_over = now - start > seconds
        while ask_at and min(ask_at) <= now and not is_over:
            ask_at.remove(min(ask_at))
            ask()
        if now - start > seconds + 20:
            ended = "still open 20 s later"
            break
        wait = got / rate - (now - start)
        if wait > 0:
            time.sleep(min(wait, 0.05))
            continue
        if not select.select([sock], [], [], 0.05)[0]:
            last_read = time.monotonic()
            continue
        longest_gap = max(longest_gap, time.monotonic() - last_read)
        data = sock.recv(16384)
        last_read = time.monotonic()
        if not data:
            ended = "end of stream"
            break
        got += len(data)
        buffer += data
        while (answer := take()) is not None:
            open_tags.discard(answer[0])
            counts[answer[1]] = counts.get(answer[1], 0) + 1
            fields = dict(pair.split("=") for pair in answer[2].split(",") if "=" in pair)
            wait = float(fields.get("cooldown", 100)) if answer[1] != "done" else 0  # milliseconds until it asks again
            ask_at.append(time.monotonic() + wait / 1000)
except OSError as error:
    ended = type(error).__name__
print(json.dumps({"client": number, "answers": counts, "open": len(open_tags), "ended": ended,
                  "at": round(time.monotonic() - start, 3), "bytes": got, "longest_gap": round(longest_gap, 3)}), flush=True)

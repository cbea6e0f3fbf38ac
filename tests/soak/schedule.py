"""From a seed to a day: settings, sizes, load and faults. Pure; the same seed gives the same schedule."""
import random
from dataclasses import dataclass, field

from clients import Behaviour


@dataclass
class Fault:
    at: float  # since the start
    kind: str
    instance: int = 0
    server: int = 0
    span: float = 0.0
    number: int = 0


@dataclass
class Day:
    seed: int
    seconds: float
    instances: int
    caches: int
    classes: list  # (name, effect, window, deadline), seconds
    max_attempts: int
    clients: list[Behaviour] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


# Kinds of faults and how often each is drawn. Those of servers and the watch end after their span.
FAULTS = {"standby": 5, "standby_cut": 3, "reload": 3, "reload_bad": 2, "restart": 3, "upgrade": 2, "kill": 2, "pause": 2,
          "server_hang": 3, "server_silent": 2, "server_busy": 2, "server_error": 2, "server_reset": 2, "server_cut": 2,
          "server_pieces": 1, "server_slow": 2, "server_dies": 1, "server_drains": 2, "purge": 5,
          "watch_stall": 2, "watch_cut": 2, "clock": 3, "calls": 5, "crowd": 1}
QUIET_START = 3.0
QUIET_END = 5.0


def draw_day(seed: int, seconds: float) -> Day:
    rng = random.Random(f"day/{seed}")
    instances = rng.choice([1, 1, 2, 2, 3, 4, 6, 8]) if rng.random() < 0.9 else rng.randint(20, 30)
    deadlines = rng.choice([(0.3, 0.4, 0.5), (0.8, 1.0, 1.0), (2.0, 2.5, 3.0), (3.0, 4.0, 8.0)])
    effects = [("pages", "repeatable"), ("orders", "by_key"), ("payments", "once")]
    window = rng.choice([0.5, 2.0, 6.0])
    classes = [(name, effect, window, deadline) for (name, effect), deadline in zip(effects, deadlines)]
    classes += [classes[0]] * 4  # most are pages
    day = Day(seed, seconds, instances, rng.randint(2, 8), classes, rng.choice([1, 3, 8]))
    for _ in range(max(4, min(24, instances * rng.randint(3, 8)))):
        day.clients.append(draw_client(rng))
    at = QUIET_START
    pace = rng.choice([1.0, 2.0, 4.0])
    while at < seconds - QUIET_END:
        day.faults.append(draw_fault(rng, at, instances, day.caches))
        at += rng.expovariate(1 / pace)
    return day


def draw_client(rng) -> Behaviour:
    kind = rng.choice(["single", "single", "deep", "deep", "open", "slow", "pieces", "cancels", "leaves", "stubborn"])
    behaviour = Behaviour(depth=1)
    if kind in ("deep", "stubborn"):
        behaviour.depth = rng.choice([2, 2, 4, 8, 8, 32])
        behaviour.heeds_cooldown = kind == "deep"
    elif kind == "open":
        behaviour.rate = rng.uniform(5, 30)
    elif kind == "slow":
        behaviour.depth = 4
        behaviour.reads_bytes_per_s = rng.choice([100_000, 1_000_000])
    elif kind == "pieces":
        behaviour.writes_in_pieces = True
        behaviour.depth = 2
    elif kind == "cancels":
        behaviour.depth = 4
        behaviour.cancels = 0.2
    elif kind == "leaves":
        behaviour.depth = 4
        behaviour.leaves = 0.05
    return behaviour


def draw_fault(rng, at, instances, caches) -> Fault:
    kind = rng.choices(list(FAULTS), list(FAULTS.values()))[0]
    return Fault(at, kind, rng.randrange(instances), rng.randrange(caches + 2), rng.uniform(0.3, 3.0), rng.randrange(1 << 30))

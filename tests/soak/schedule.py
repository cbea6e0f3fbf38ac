"""Draws the schedule of a day (settings, sizes, load and faults) from a seed.

Has no I/O; the same seed gives the same schedule.
"""
import random
from dataclasses import dataclass, field

from clients import Behaviour


@dataclass
class Fault:
    """A fault or an operation of the operators; which fields apply depends on its kind."""
    at: float  # seconds since the start
    kind: str
    instance: int = 0
    server: int = 0
    duration: float = 0.0  # seconds
    choice: int = 0  # random number that selects among the variants of the kind


@dataclass
class Day:
    """The schedule of one run."""
    seed: int
    seconds: float
    instances: int
    caches: int
    classes: list  # (name, effect, idempotency key window, deadline), in seconds
    max_attempts: int
    clients: list[Behaviour] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


# Fault kinds and their weights. Faults of servers and of the endpoint watch end after their duration.
FAULTS = {"standby": 5, "standby_cut": 3, "reload": 3, "reload_bad": 2, "restart": 3, "upgrade": 2, "kill": 2, "pause": 2,
          "server_hang": 3, "server_silent": 2, "server_busy": 2, "server_error": 2, "server_reset": 2, "server_cut": 2,
          "server_pieces": 1, "server_slow": 2, "server_twice": 2, "server_early_reset": 2, "server_dies": 1, "server_drains": 2, "purge": 5,
          "watch_stall": 2, "watch_cut": 2, "clock": 3, "calls": 5, "crowd": 1}
MAX_CLIENTS = 24
QUIET_START = 3.0  # seconds without faults at the start of the day
QUIET_END = 5.0  # and at its end


def draw_day(seed: int, seconds: float, fleet_size: int | None = None) -> Day:
    """Draws the day of a seed; `fleet_size` sets the number of instances."""
    rng = random.Random(f"day/{seed}")
    instances = rng.choice([1, 1, 2, 2, 3, 4, 6, 8]) if rng.random() < 0.9 else rng.randint(20, 30)
    instances = fleet_size or instances
    deadlines = rng.choice([(0.3, 0.4, 0.5), (0.8, 1.0, 1.0), (2.0, 2.5, 3.0), (3.0, 4.0, 8.0)])
    effects = [("pages", "repeatable"), ("orders", "by_key"), ("payments", "once")]
    window = rng.choice([0.5, 2.0, 6.0])
    classes = [(name, effect, window, deadline) for (name, effect), deadline in zip(effects, deadlines)]
    classes += [classes[0]] * 4  # most requests are of the class "pages"
    day = Day(seed, seconds, instances, rng.randint(2, 8), classes, rng.choice([1, 3, 8]))
    for _ in range(max(4, min(MAX_CLIENTS, instances * rng.randint(3, 8)))):
        day.clients.append(draw_client(rng))
    fault_at = QUIET_START
    mean_interval = rng.choice([1.0, 2.0, 4.0])
    while fault_at < seconds - QUIET_END:
        day.faults.append(draw_fault(rng, fault_at, instances, day.caches))
        fault_at += rng.expovariate(1 / mean_interval)
    return day


def draw_client(rng) -> Behaviour:
    kind = rng.choice(["single", "single", "pipelined", "pipelined", "open_loop", "slow_reader",
                       "split_writes",
                       "cancels", "disconnects", "ignores_cooldown"])
    behaviour = Behaviour(max_in_flight=1)
    if kind in ("pipelined", "ignores_cooldown"):
        behaviour.max_in_flight = rng.choice([2, 2, 4, 8, 8, 32])
        behaviour.honours_cooldown = kind == "pipelined"
    elif kind == "open_loop":
        behaviour.requests_per_s = rng.uniform(5, 30)
    elif kind == "slow_reader":
        behaviour.max_in_flight = 4
        behaviour.read_bytes_per_s = rng.choice([100_000, 1_000_000])
    elif kind == "split_writes":
        behaviour.splits_writes = True
        behaviour.max_in_flight = 2
    elif kind == "cancels":
        behaviour.max_in_flight = 4
        behaviour.cancel_chance = 0.2
    elif kind == "disconnects":
        behaviour.max_in_flight = 4
        behaviour.disconnect_chance = 0.05
    return behaviour


def draw_fault(rng, at, instances, caches) -> Fault:
    kind = rng.choices(list(FAULTS), list(FAULTS.values()))[0]
    return Fault(at, kind, rng.randrange(instances), rng.randrange(caches + 2), rng.uniform(0.3, 3.0),
                 rng.randrange(1 << 30))

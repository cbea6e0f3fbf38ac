"""What clients, servers, the endpoint watch and operators saw, as typed events on one monotonic clock (seconds)."""
from dataclasses import dataclass, field


@dataclass
class Request:
    """One request of a client and all that its client saw of it."""
    reference: str
    instance: str
    connection: int
    class_name: str
    effect: str  # repeatable, by_key or once
    window: float  # of an idempotency key
    allow: float
    object_id: str
    written_at: float  # its last byte
    answers: list = field(default_factory=list)  # (at, status, issued, is_body_right)
    cancelled_at: float | None = None


@dataclass
class Connection:
    """A client's connection to an instance."""
    number: int
    instance: str
    opened_at: float
    client_closed_at: float | None = None
    ended_at: float | None = None  # by the instance


@dataclass
class Attempt:
    """A request as it reached a server."""
    reference: str
    server: str
    source: str | None
    budget: float | None
    arrived_at: float
    instance: str
    ended_at: float | None = None  # answered, stopped, or its connection ended
    outcome: str | None = None  # the word of the answer; None: stopped or never answered


@dataclass
class Purge:
    object_id: str
    told_at: float  # written to the change log
    time: float  # its Unix time, on the clock of `issued`
    received_at: dict = field(default_factory=dict)  # by instance: the line was whole on its watch


@dataclass
class Drain:
    server: str
    told_at: float
    until: float = float("inf")  # when it was listed as up again
    received_at: dict = field(default_factory=dict)


@dataclass
class Standby:
    instance: str
    called_at: float
    until: float  # when the next call came
    next_call: str  # active, or the end of the run


@dataclass
class Status:
    """An answer of the admin listener; None: it did not come within a second."""
    instance: str
    call: str
    asked_at: float
    answered_at: float | None
    text: str | None


@dataclass
class Process:
    """One process of an instance."""
    number: int
    instance: str
    started_at: float
    ready_at: float | None = None
    told_to_stop_at: float | None = None
    killed_at: float | None = None  # by the soak
    ended_at: float | None = None
    exit_status: int | None = None
    pauses: list = field(default_factory=list)  # (from, to) between SIGSTOP and SIGCONT

    def paused(self, start: float, end: float) -> float:
        """Seconds of the span in which the process was stopped."""
        return sum(max(0.0, min(end, until) - max(start, since)) for since, until in self.pauses)


@dataclass
class History:
    seed: int = 0
    requests: list[Request] = field(default_factory=list)
    connections: dict[int, Connection] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    purges: list[Purge] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    standbys: list[Standby] = field(default_factory=list)
    statuses: list[Status] = field(default_factory=list)
    processes: dict[int, Process] = field(default_factory=dict)
    faults: list = field(default_factory=list)  # (at, text)
    ended_at: float = 0.0
    lags: list = field(default_factory=list)  # (at, seconds) where the soak's own loop ran late

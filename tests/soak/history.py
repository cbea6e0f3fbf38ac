"""Typed events observed by clients, servers, the endpoint watch and the operators.

All times are seconds of one monotonic clock (time.monotonic()) unless a comment says otherwise.
"""
from dataclasses import dataclass, field


@dataclass
class Request:
    """A client's request and everything that its client observed about it."""
    reference: str
    instance: str
    connection: int  # Connection.number
    class_name: str
    effect: str  # repeatable, by_key or once
    key_window: float  # seconds for which its idempotency key is valid
    timeout: float  # seconds that the client allows
    object_id: str
    written_at: float  # when the last byte was written
    responses: list = field(default_factory=list)  # (at, status, issued, is_body_right)
    cancelled_at: float | None = None
    key: str | None = None  # the idempotency key, the same for all tries of one order


@dataclass
class Connection:
    """A client's connection to an instance."""
    number: int
    instance: str
    opened_at: float
    client_closed_at: float | None = None
    instance_closed_at: float | None = None


@dataclass
class Attempt:
    """A request as a server received it."""
    reference: str
    server: str
    source: str | None  # the server to fill from on a miss
    budget: float | None  # seconds left, as the instance stated them
    arrived_at: float
    instance: str
    ended_at: float | None = None  # answered or stopped, or its connection ended
    outcome: str | None = None  # status word of the response; None: stopped or not answered


@dataclass
class Purge:
    object_id: str
    announced_at: float  # when it was published to the endpoint watch
    time: float  # Unix time in ms, comparable with `issued` of a response
    received_at: dict = field(default_factory=dict)  # by instance: when its watch sent the whole line


@dataclass
class Drain:
    server: str
    announced_at: float
    up_again_at: float = float("inf")  # when the server was listed as up again
    received_at: dict = field(default_factory=dict)  # as in Purge


@dataclass
class Standby:
    """One standby period of an instance."""
    instance: str
    called_at: float
    next_call_at: float
    next_call: str  # "active", or the end of the run


@dataclass
class AdminCall:
    """A call to the admin listener; answered_at and text are None if no answer came before the time limit."""
    instance: str
    command: str
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
    sigterm_at: float | None = None
    killed_at: float | None = None  # when the soak sent SIGKILL
    ended_at: float | None = None
    exit_status: int | None = None
    pauses: list = field(default_factory=list)  # (from, to) between SIGSTOP and SIGCONT

    def paused(self, start: float, end: float) -> float:
        """Returns for how many seconds between start and end the process was paused."""
        return sum(max(0.0, min(end, until) - max(start, since)) for since, until in self.pauses)


@dataclass
class History:
    """Everything that one run recorded."""
    seed: int = 0
    requests: list[Request] = field(default_factory=list)
    connections: dict[int, Connection] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    purges: list[Purge] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    standbys: list[Standby] = field(default_factory=list)
    admin_calls: list[AdminCall] = field(default_factory=list)
    processes: dict[int, Process] = field(default_factory=dict)
    faults: list = field(default_factory=list)  # (at, text)
    ended_at: float = 0.0
    lags: list = field(default_factory=list)  # (at, seconds): delays of the soak's own event loop

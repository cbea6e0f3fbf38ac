"""Holds a history against the operators' rules. It reads only what clients, servers and operators saw."""
from collections import defaultdict
from dataclasses import dataclass

from history import History, Process, Request

SLACK = 0.05  # of every time limit (PROTOCOL)
CROSSING = 0.05  # a request so close to the end of its connection is sent again
LATE_ANSWER = 0.5  # after its time: worth nothing, not lost (STANDING)
DRAIN_GRACE = 0.5
PURGE_GRACE = 1.0
TOLD_AT_LATEST = 7.0  # after it was written to the change log
CLIENT_GONE = 0.1
BUDGET_SLACK = 0.15
ADMIN_LIMIT = 1.0
STANDBY_LOOK = 4.0
STANDBY_RECENT = 2.0
ACTIVE_LIMIT = 2.0
READY_LIMIT = 10.0
NEVER_RAN = {"BUSY", "MISS", "VOID"}


@dataclass
class Violation:
    rule: str
    text: str
    reference: str | None = None


class Checker:
    def __init__(self, history: History):
        self.history = history
        self.attempts = defaultdict(list)
        for attempt in history.attempts:
            self.attempts[attempt.reference].append(attempt)
        for attempts in self.attempts.values():
            attempts.sort(key=lambda attempt: attempt.arrived_at)
        self.requests = {request.reference: request for request in history.requests}
        self.violations: list[Violation] = []

    def check(self) -> list[Violation]:
        for request in self.history.requests:
            self.check_answer(request)
            self.check_effect(request)
            self.check_client_gone(request)
            self.check_budget(request)
            self.check_purges(request)
        self.check_drains()
        self.check_standby()
        self.check_admin()
        self.check_processes()
        return self.violations

    def slack(self, start, end=None) -> float:
        """Of a time limit: the page's, and how late the soak's own loop ran at about that time."""
        end = start if end is None else end
        return SLACK + max((lag for at, lag in self.history.lags if start - 1.0 <= at <= end + 1.0), default=0.0)

    def found(self, rule, text, reference=None):
        self.violations.append(Violation(rule, text, reference))

    def processes_of(self, request: Request) -> list[Process]:
        """Those that may have taken its connection: during an upgrade there are two at one address."""
        opened_at = self.history.connections[request.connection].opened_at
        return [one for one in self.history.processes.values()
                if one.instance == request.instance and one.started_at <= opened_at
                and (one.ended_at is None or one.ended_at >= opened_at)]

    def paused(self, request: Request, start: float, end: float) -> float:
        return max((one.paused(start, end) for one in self.processes_of(request)), default=0.0)

    # ---- One final answer, in time. ----

    def check_answer(self, request: Request):
        if len(request.answers) > 1:
            self.found("one answer", f"{len(request.answers)} answers", request.reference)
        for _, status, _, is_body_right in request.answers[:1]:
            if status == "done" and not is_body_right:
                self.found("bytes", "served other bytes than its servers made", request.reference)
        connection = self.history.connections[request.connection]
        limit = request.written_at + request.allow + LATE_ANSWER
        limit += self.slack(request.written_at, limit)
        limit += self.paused(request, request.written_at, limit)
        if request.answers:
            if request.answers[0][0] > limit and request.cancelled_at is None:
                late = request.answers[0][0] - request.written_at
                self.found("lost", f"answered after {late:.3f} s, {request.allow:.3f} s allowed", request.reference)
            return
        if request.cancelled_at is not None or connection.client_closed_at is not None:
            gone_at = min(at for at in (request.cancelled_at, connection.client_closed_at) if at is not None)
            if gone_at <= limit:
                return
        killed = [one for one in self.processes_of(request) if one.killed_at is not None and one.killed_at <= limit]
        if any(not self.is_owed_before_kill(request, one) for one in killed):
            return
        if connection.ended_at is not None and connection.ended_at - request.written_at <= CROSSING + self.slack(
                request.written_at):
            return
        if limit > self.history.ended_at:
            return
        self.found("lost", "no answer" + (
            f", its connection ended {connection.ended_at - request.written_at:.3f} s after it was written"
            if connection.ended_at is not None else ""), request.reference)

    def is_owed_before_kill(self, request: Request, process: Process) -> bool:
        """SIGKILL excuses what it cuts off; after SIGTERM only what crossed the end of its connection."""
        if process.told_to_stop_at is None or process.told_to_stop_at > process.killed_at:
            return False
        return process.killed_at - request.written_at > CROSSING + self.slack(request.written_at)

    # ---- Attempts. ----

    def check_effect(self, request: Request):
        attempts = self.attempts[request.reference]
        for earlier, later in zip(attempts, attempts[1:]):
            if earlier.ended_at is None or earlier.ended_at > later.arrived_at + self.slack(
                    later.arrived_at):
                self.found("two attempts", f"at {earlier.server} and {later.server} at once", request.reference)
        may_have_run = [one for one in attempts if one.outcome not in NEVER_RAN]
        if request.effect == "once" and len(may_have_run) > 0:
            if attempts[-1] is not may_have_run[0]:
                self.found("effect", "sent again after an attempt that may have run", request.reference)
        if request.effect == "by_key" and may_have_run:
            first = may_have_run[0].arrived_at
            if any(one.arrived_at > first + request.window + self.slack(one.arrived_at) for one in attempts):
                self.found("effect", "sent again after the window of its key", request.reference)
        rejected_at = next((at for at, status, _, _ in request.answers if status == "later"), None)
        if rejected_at is not None and request.effect == "once":
            if any(one.arrived_at <= rejected_at for one in may_have_run):
                self.found("effect", "rejected, though it may have run", request.reference)
        if request.answers and any(one.arrived_at > request.answers[0][0] + self.slack(one.arrived_at) for one in attempts):
            self.found("after the answer", "sent to a server after its final answer", request.reference)

    def check_client_gone(self, request: Request):
        connection = self.history.connections[request.connection]
        for gone_at in (request.cancelled_at, connection.client_closed_at):
            if gone_at is None:
                continue
            for attempt in self.attempts[request.reference]:
                allowed = gone_at + CLIENT_GONE + self.slack(attempt.arrived_at) + self.paused(request, gone_at, attempt.arrived_at)
                if attempt.arrived_at > allowed:
                    late = attempt.arrived_at - gone_at
                    self.found("client gone", f"sent {late:.3f} s after its client had gone", request.reference)

    def check_budget(self, request: Request):
        for attempt in self.attempts[request.reference]:
            left = request.written_at + request.allow - attempt.arrived_at
            if attempt.budget is not None and attempt.budget > max(left, 0) + BUDGET_SLACK + self.slack(
                    attempt.arrived_at):
                if self.paused(request, request.written_at, attempt.arrived_at) > 0:
                    continue
                self.found("budget", f"{attempt.budget:.3f} s told, {left:.3f} s left", request.reference)

    def told_by(self, event, instance, sent_at) -> float:
        """From when the process that sent it counts as told: one that came later was told at its start."""
        told_at = min(event.received_at.get(instance, float("inf")), event.told_at + TOLD_AT_LATEST)
        starts = [one.ready_at or one.started_at for one in self.history.processes.values()
                  if one.instance == instance and one.started_at <= sent_at]
        return max([told_at, *starts])

    def check_purges(self, request: Request):
        for at, status, issued, _ in request.answers[:1]:
            sent_at = max((one.arrived_at for one in self.attempts[request.reference] if one.arrived_at <= at),
                          default=None)
            if status != "done" or issued is None or sent_at is None:
                continue
            for purge in self.history.purges:
                if purge.object_id != request.object_id or issued >= purge.time:
                    continue
                if sent_at > self.told_by(purge, request.instance, sent_at) + PURGE_GRACE + self.slack(sent_at):
                    self.found("purge", f"served a copy issued {(purge.time - issued) / 1000:.3f} s before its purge",
                               request.reference)

    def check_drains(self):
        for drain in self.history.drains:
            for attempt in self.history.attempts:
                if drain.server not in (attempt.server, attempt.source) or attempt.arrived_at > drain.until:
                    continue
                told_at = self.told_by(drain, attempt.instance, attempt.arrived_at)
                paused = max((one.paused(told_at, attempt.arrived_at) for one in self.history.processes.values()
                              if one.instance == attempt.instance), default=0.0)
                if attempt.arrived_at > told_at + DRAIN_GRACE + self.slack(attempt.arrived_at) + paused:
                    self.found("drain", f"sent to {drain.server} {attempt.arrived_at - told_at:.3f} s after "
                               f"{attempt.instance} was told of its drain", attempt.reference)

    # ---- Operators. ----

    def check_standby(self):
        for standby in self.history.standbys:
            look_at = standby.called_at + STANDBY_LOOK
            if standby.until < look_at or self.history.ended_at < look_at:
                continue
            if self.was_disturbed(standby.instance, standby.called_at, look_at):
                continue
            for connection in self.history.connections.values():
                if connection.instance == standby.instance:
                    self.check_held(connection, look_at)
        for status in self.history.statuses:
            for standby in self.history.standbys:
                if status.call != "status" or status.instance != standby.instance or status.text is None:
                    continue
                is_within = standby.called_at + SLACK < status.asked_at < standby.until - SLACK
                if is_within and status.text.startswith("done") and not self.was_disturbed(
                        standby.instance, standby.called_at, status.asked_at):
                    self.found("standby", f"{status.instance} says yes during standby")
                if standby.next_call != "active" or not status.text.startswith("error"):
                    continue
                since = status.asked_at - standby.until
                next_call = min((one.called_at for one in self.history.standbys
                                 if one.instance == status.instance and one.called_at > standby.until),
                                default=self.history.ended_at)
                if ACTIVE_LIMIT < since < ACTIVE_LIMIT + 1 and status.asked_at < next_call and not self.was_disturbed(
                        status.instance, standby.until, status.asked_at):
                    self.found("standby", f"{status.instance} says no {since:.1f} s after active")

    def check_held(self, connection, look_at):
        ended_at = min(at for at in (connection.client_closed_at, connection.ended_at, float("inf")) if at is not None)
        if not connection.opened_at < look_at - 0.5 or ended_at <= look_at:
            return
        requests = [one for one in self.history.requests if one.connection == connection.number]
        carried = [one for one in requests if one.written_at <= look_at and
                   (not one.answers or one.answers[0][0] > look_at) and one.cancelled_at is None]
        if not carried:
            self.found("standby", f"connection {connection.number} of {connection.instance} held idle at 4 s")
        for one in carried:
            if one.written_at > look_at - STANDBY_RECENT:
                self.found("standby", f"connection {connection.number} carries a request of the last 2 s at 4 s",
                           one.reference)

    def was_disturbed(self, instance, start, end) -> bool:
        """Whether a process of the instance started, stopped, or was paused meanwhile."""
        for process in self.history.processes.values():
            if process.instance != instance:
                continue
            marks = (process.started_at, process.told_to_stop_at, process.killed_at, process.ended_at)
            if any(at is not None and start - 0.5 <= at <= end for at in marks) or process.paused(start, end) > 0:
                return True
        return False

    def check_admin(self):
        for status in self.history.statuses:
            if status.answered_at is not None and status.answered_at - status.asked_at <= ADMIN_LIMIT + self.slack(
                    status.asked_at, status.answered_at):
                continue
            if not self.was_disturbed(status.instance, status.asked_at, status.asked_at + ADMIN_LIMIT):
                self.found("admin", f"{status.instance}: {status.call} not answered within a second")

    def check_processes(self):
        for process in self.history.processes.values():
            ready_by = process.started_at + READY_LIMIT
            if process.ready_at is None or process.ready_at > ready_by + process.paused(process.started_at, ready_by):
                cut_short = min(at for at in (process.killed_at, process.told_to_stop_at, self.history.ended_at)
                                if at is not None)
                if cut_short > ready_by:
                    self.found("ready", f"process {process.number} of {process.instance} was not ready in 10 s")
            if process.ended_at is None or process.killed_at is not None and process.ended_at >= process.killed_at:
                continue
            if process.told_to_stop_at is None or process.exit_status != 0:
                self.found("crash", f"process {process.number} of {process.instance} ended with {process.exit_status}")


def story(history: History, reference: str) -> list[str]:
    """All that was seen of a request, in one timeline with the faults beside it."""
    request = next(one for one in history.requests if one.reference == reference)
    lines = [(request.written_at, f"client: written to {request.instance}, {request.class_name} "
              f"({request.effect}), {request.allow:.3f} s allowed")]
    connection = history.connections[request.connection]
    lines.append((connection.opened_at, f"client: connection {connection.number} opened"))
    for at, text in ((connection.client_closed_at, "closed by its client"), (connection.ended_at, "ended by the instance"),
                     (request.cancelled_at, "request cancelled")):
        if at is not None:
            lines.append((at, f"client: connection {connection.number}: {text}"))
    lines += [(at, f"client: answer {status}") for at, status, _, _ in request.answers]
    for attempt in history.attempts:
        if attempt.reference == reference:
            lines.append((attempt.arrived_at, f"server {attempt.server}: request, source {attempt.source}, "
                          f"budget {attempt.budget}"))
            if attempt.ended_at is not None:
                lines.append((attempt.ended_at, f"server {attempt.server}: {attempt.outcome or 'stopped'}"))
    end = max(at for at, _ in lines)
    lines += [(at, f"fault: {text}") for at, text in history.faults if request.written_at - 6 <= at <= end + 0.5]
    return [f"{at:9.3f} {text}" for at, text in sorted(lines)]

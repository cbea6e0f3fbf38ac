"""Checks a history against the operators' rules, using only what clients, servers and operators observed."""
from collections import defaultdict
from dataclasses import dataclass

from history import History, Process, Request

TIMING_SLACK_S = 0.05  # added to every time limit (PROTOCOL)
CLOSE_RACE_S = 0.05  # a client resends a request written this short before its connection ended
LATE_RESPONSE_GRACE_S = 0.5  # after its deadline: the response has no value but is not lost (STANDING)
DRAIN_GRACE_S = 0.5
PURGE_GRACE_S = 1.0
MAX_PROPAGATION_S = 7.0  # for an event to reach every instance after it was published
CLIENT_GONE_LIMIT_S = 0.1  # for attempts after the client cancelled or disconnected
BUDGET_SLACK_S = 0.15
ADMIN_LIMIT_S = 1.0
STANDBY_CHECK_DELAY_S = 4.0  # after the call; no idle connection is open then
STANDBY_RECENT_S = 2.0  # no open request is younger than this at that time
ACTIVE_LIMIT_S = 2.0  # after the call, to report ready
READY_LIMIT_S = 10.0
NOT_EXECUTED = {"BUSY", "MISS", "VOID"}  # responses of a server that did not execute the request


@dataclass
class Violation:
    """A broken rule, with the reference of the request concerned if there is one."""
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
            self.check_response(request)
            self.check_effect(request)
            self.check_abandoned(request)
            self.check_budget(request)
            self.check_purges(request)
        self.check_keys()
        self.check_drains()
        self.check_standby()
        self.check_admin()
        self.check_processes()
        return self.violations

    def slack(self, start, end=None) -> float:
        """Returns the tolerance of a time limit.

        It is the page's tolerance plus the largest delay of the soak's own event loop around that time.
        """
        end = start if end is None else end
        return TIMING_SLACK_S + max((lag for at, lag in self.history.lags if start - 1.0 <= at <= end + 1.0),
                                    default=0.0)

    def add_violation(self, rule, text, reference=None):
        self.violations.append(Violation(rule, text, reference))

    def processes_of(self, request: Request) -> list[Process]:
        """Returns the processes that may have accepted its connection.

        During an upgrade, two processes share one address.
        """
        opened_at = self.history.connections[request.connection].opened_at
        return [one for one in self.history.processes.values()
                if one.instance == request.instance and one.started_at <= opened_at
                and (one.ended_at is None or one.ended_at >= opened_at)]

    def paused(self, request: Request, start: float, end: float) -> float:
        return max((one.paused(start, end) for one in self.processes_of(request)), default=0.0)

    # ---- One final response, in time. ----

    def check_response(self, request: Request):
        if len(request.responses) > 1:
            self.add_violation("one answer", f"{len(request.responses)} responses", request.reference)
        for _, status, _, is_body_right in request.responses[:1]:
            if status == "done" and not is_body_right:
                self.add_violation("bytes", "the response body differs from what the servers sent",
                                   request.reference)
        connection = self.history.connections[request.connection]
        limit = request.written_at + request.timeout + LATE_RESPONSE_GRACE_S
        limit += self.slack(request.written_at, limit)
        limit += self.paused(request, request.written_at, limit)
        if request.responses:
            if request.responses[0][0] > limit and request.cancelled_at is None:
                late = request.responses[0][0] - request.written_at
                self.add_violation("lost", f"answered after {late:.3f} s, {request.timeout:.3f} s allowed",
                                   request.reference)
            return
        if request.cancelled_at is not None or connection.client_closed_at is not None:
            abandoned_at = min(at for at in (request.cancelled_at, connection.client_closed_at)
                               if at is not None)
            if abandoned_at <= limit:
                return
        killed = [one for one in self.processes_of(request) if one.killed_at is not None and one.killed_at <= limit]
        if any(not self.had_time_to_respond_before_kill(request, one) for one in killed):
            return
        if (connection.instance_closed_at is not None and
                connection.instance_closed_at - request.written_at <=
                CLOSE_RACE_S + self.slack(request.written_at)):
            return
        if limit > self.history.ended_at:
            return
        self.add_violation("lost", "no response" + (
            f", its connection ended {connection.instance_closed_at - request.written_at:.3f} s "
            f"after the request was written"
            if connection.instance_closed_at is not None else ""), request.reference)

    def had_time_to_respond_before_kill(self, request: Request, process: Process) -> bool:
        """Returns whether the process had to respond before it was killed.

        SIGKILL alone excuses all open requests; after SIGTERM, only those written just before the kill.
        """
        if process.sigterm_at is None or process.sigterm_at > process.killed_at:
            return False
        return process.killed_at - request.written_at > CLOSE_RACE_S + self.slack(request.written_at)

    # ---- Attempts. ----

    def check_effect(self, request: Request):
        attempts = self.attempts[request.reference]
        for earlier, later in zip(attempts, attempts[1:]):
            if earlier.ended_at is None or earlier.ended_at > later.arrived_at + self.slack(
                    later.arrived_at):
                self.add_violation("two attempts", f"attempts at {earlier.server} and {later.server} overlap",
                                   request.reference)
        may_have_run = [one for one in attempts if one.outcome not in NOT_EXECUTED]
        if request.effect == "once" and len(may_have_run) > 0:
            if attempts[-1] is not may_have_run[0]:
                self.add_violation("effect", "retried after an attempt that may have run", request.reference)
        if request.effect == "by_key" and may_have_run:
            first = may_have_run[0].arrived_at
            if any(one.arrived_at > first + request.key_window + self.slack(one.arrived_at)
                   for one in attempts):
                self.add_violation("effect", "retried after its idempotency key had expired",
                                   request.reference)
        rejected_at = next((at for at, status, _, _ in request.responses if status == "later"), None)
        if rejected_at is not None and request.effect == "once":
            if any(one.arrived_at <= rejected_at for one in may_have_run):
                self.add_violation("effect", "rejected, though it may have run", request.reference)
        if request.responses and any(one.arrived_at > request.responses[0][0] + self.slack(one.arrived_at)
                                     for one in attempts):
            self.add_violation("after the answer", "sent to a server after its final response",
                               request.reference)

    def check_keys(self):
        """Checks the repeats of orders against the window that began with the first try of their client."""
        tries = defaultdict(list)
        for request in self.history.requests:
            if request.key is not None:
                tries[request.key].append(request)
        for requests in tries.values():
            may_have_run = [attempt.arrived_at for request in requests for attempt in self.attempts[request.reference]
                            if attempt.outcome not in NOT_EXECUTED]
            if len(may_have_run) > 1:
                for request in requests:
                    self.check_repeats(request, min(may_have_run))

    def check_repeats(self, request: Request, first_executed_at: float):
        """Checks the attempts of one try after its first that may have run.

        Up to that one the instance may not know of the earlier tries, and the client answers for its key.
        """
        attempts = self.attempts[request.reference]
        own = next((number for number, one in enumerate(attempts) if one.outcome not in NOT_EXECUTED), len(attempts))
        for attempt in attempts[own + 1:]:
            late = attempt.arrived_at - first_executed_at - request.key_window
            if late > self.slack(attempt.arrived_at):
                self.add_violation("effect", f"repeated {late:.3f} s after the window of its order's first try",
                                   request.reference)

    def check_abandoned(self, request: Request):
        connection = self.history.connections[request.connection]
        for abandoned_at in (request.cancelled_at, connection.client_closed_at):
            if abandoned_at is None:
                continue
            for attempt in self.attempts[request.reference]:
                allowed = (abandoned_at + CLIENT_GONE_LIMIT_S + self.slack(attempt.arrived_at) +
                           self.paused(request, abandoned_at, attempt.arrived_at))
                if attempt.arrived_at > allowed:
                    late = attempt.arrived_at - abandoned_at
                    self.add_violation("client gone",
                                       f"sent {late:.3f} s after its client cancelled or disconnected",
                                       request.reference)

    def check_budget(self, request: Request):
        for attempt in self.attempts[request.reference]:
            left = request.written_at + request.timeout - attempt.arrived_at
            if attempt.budget is not None and attempt.budget > max(left, 0) + BUDGET_SLACK_S + self.slack(
                    attempt.arrived_at):
                if self.paused(request, request.written_at, attempt.arrived_at) > 0:
                    continue
                self.add_violation("budget", f"budget of {attempt.budget:.3f} s sent, {left:.3f} s left",
                                   request.reference)

    def known_since(self, event, instance, sent_at) -> float:
        """Returns from when the sending process had to know of a purge or drain.

        That is when the event reached the instance; a process that started later knows it from the start.
        """
        known_at = min(event.received_at.get(instance, float("inf")), event.announced_at + MAX_PROPAGATION_S)
        starts = [one.ready_at or one.started_at for one in self.history.processes.values()
                  if one.instance == instance and one.started_at <= sent_at]
        return max([known_at, *starts])

    def check_purges(self, request: Request):
        for at, status, issued, _ in request.responses[:1]:
            sent_at = max((one.arrived_at for one in self.attempts[request.reference] if one.arrived_at <= at),
                          default=None)
            if status != "done" or issued is None or sent_at is None:
                continue
            for purge in self.history.purges:
                if purge.object_id != request.object_id or issued >= purge.time:
                    continue
                if sent_at > self.known_since(purge, request.instance,
                                              sent_at) + PURGE_GRACE_S + self.slack(sent_at):
                    self.add_violation("purge",
                                       f"served a copy issued {(purge.time - issued) / 1000:.3f} s "
                                       "before its purge",
                                       request.reference)

    def check_drains(self):
        for drain in self.history.drains:
            for attempt in self.history.attempts:
                if drain.server not in (attempt.server,
                                        attempt.source) or attempt.arrived_at > drain.up_again_at:
                    continue
                known_at = self.known_since(drain, attempt.instance, attempt.arrived_at)
                paused = max((one.paused(known_at, attempt.arrived_at)
                              for one in self.history.processes.values()
                              if one.instance == attempt.instance), default=0.0)
                if attempt.arrived_at > known_at + DRAIN_GRACE_S + self.slack(attempt.arrived_at) + paused:
                    self.add_violation("drain",
                                       f"sent to {drain.server} {attempt.arrived_at - known_at:.3f} s after "
                                       f"{attempt.instance} was notified of its drain", attempt.reference)

    # ---- Operators. ----

    def check_standby(self):
        for standby in self.history.standbys:
            checked_at = standby.called_at + STANDBY_CHECK_DELAY_S
            if standby.next_call_at < checked_at or self.history.ended_at < checked_at:
                continue
            if self.had_process_event(standby.instance, standby.called_at, checked_at):
                continue
            for connection in self.history.connections.values():
                if connection.instance == standby.instance:
                    self.check_connection_in_standby(connection, checked_at)
        for call in self.history.admin_calls:
            for standby in self.history.standbys:
                if call.command != "status" or call.instance != standby.instance or call.text is None:
                    continue
                is_within = (standby.called_at + TIMING_SLACK_S < call.asked_at <
                             standby.next_call_at - TIMING_SLACK_S)
                if is_within and call.text.startswith("done") and not self.had_process_event(
                        standby.instance, standby.called_at, call.asked_at):
                    self.add_violation("standby", f"{call.instance} reports ready during standby")
                if standby.next_call != "active" or not call.text.startswith("error"):
                    continue
                since = call.asked_at - standby.next_call_at
                next_call = min((one.called_at for one in self.history.standbys
                                 if one.instance == call.instance and one.called_at > standby.next_call_at),
                                default=self.history.ended_at)
                if (ACTIVE_LIMIT_S < since < ACTIVE_LIMIT_S + 1 and call.asked_at < next_call and
                        not self.had_process_event(call.instance, standby.next_call_at, call.asked_at)):
                    self.add_violation("standby",
                                       f"{call.instance} reports not ready {since:.1f} s after active")

    def check_connection_in_standby(self, connection, checked_at):
        """Checks a connection at the time by which a standby instance has closed idle ones."""
        ended_at = min(at for at in (connection.client_closed_at, connection.instance_closed_at, float("inf"))
                       if at is not None)
        if not connection.opened_at < checked_at - 0.5 or ended_at <= checked_at:
            return
        requests = [one for one in self.history.requests if one.connection == connection.number]
        in_flight = [one for one in requests if one.written_at <= checked_at and
                     (not one.responses or one.responses[0][0] > checked_at) and one.cancelled_at is None]
        if not in_flight:
            self.add_violation("standby",
                               f"connection {connection.number} of {connection.instance} is open without "
                               "a request 4 s after standby")
        for one in in_flight:
            if one.written_at > checked_at - STANDBY_RECENT_S:
                self.add_violation("standby",
                                   f"connection {connection.number} has a request of the last 2 s open "
                                   "4 s after standby", one.reference)

    def had_process_event(self, instance, start, end) -> bool:
        """Returns whether a process of the instance started, ended, was signalled or was paused.

        Considers the time from 0.5 s before start to end; pauses only from start.
        """
        for process in self.history.processes.values():
            if process.instance != instance:
                continue
            event_times = (process.started_at, process.sigterm_at, process.killed_at, process.ended_at)
            if (any(at is not None and start - 0.5 <= at <= end for at in event_times) or
                    process.paused(start, end) > 0):
                return True
        return False

    def check_admin(self):
        for call in self.history.admin_calls:
            if (call.answered_at is not None and call.answered_at - call.asked_at <=
                    ADMIN_LIMIT_S + self.slack(call.asked_at, call.answered_at)):
                continue
            if not self.had_process_event(call.instance, call.asked_at, call.asked_at + ADMIN_LIMIT_S):
                self.add_violation("admin", f"{call.instance}: {call.command} not answered within 1 s")

    def check_processes(self):
        for process in self.history.processes.values():
            ready_by = process.started_at + READY_LIMIT_S
            if process.ready_at is None or process.ready_at > ready_by + process.paused(process.started_at, ready_by):
                stopped_at = min(at for at in (process.killed_at, process.sigterm_at, self.history.ended_at)
                                 if at is not None)
                if stopped_at > ready_by:
                    self.add_violation("ready",
                                       f"process {process.number} of {process.instance} "
                                       "was not ready in 10 s")
            if process.ended_at is None or process.killed_at is not None and process.ended_at >= process.killed_at:
                continue
            if process.sigterm_at is None or process.exit_status != 0:
                self.add_violation("crash",
                                   f"process {process.number} of {process.instance} "
                                   f"ended with {process.exit_status}")


def request_timeline(history: History, reference: str) -> list[str]:
    """Returns everything observed about a request, and the faults around it, ordered by time."""
    request = next(one for one in history.requests if one.reference == reference)
    lines = [(request.written_at, f"client: written to {request.instance}, {request.class_name} "
              f"({request.effect}), {request.timeout:.3f} s allowed")]
    connection = history.connections[request.connection]
    lines.append((connection.opened_at, f"client: connection {connection.number} opened"))
    for at, text in ((connection.client_closed_at, "closed by its client"),
                     (connection.instance_closed_at, "closed by the instance"),
                     (request.cancelled_at, "request cancelled")):
        if at is not None:
            lines.append((at, f"client: connection {connection.number}: {text}"))
    lines += [(at, f"client: answer {status}") for at, status, _, _ in request.responses]
    for attempt in history.attempts:
        if attempt.reference == reference:
            lines.append((attempt.arrived_at, f"server {attempt.server}: request, source {attempt.source}, "
                          f"budget {attempt.budget}"))
            if attempt.ended_at is not None:
                lines.append((attempt.ended_at, f"server {attempt.server}: {attempt.outcome or 'stopped'}"))
    end = max(at for at, _ in lines)
    lines += [(at, f"fault: {text}") for at, text in history.faults if request.written_at - 6 <= at <= end + 0.5]
    return [f"{at:9.3f} {text}" for at, text in sorted(lines)]

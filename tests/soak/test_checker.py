#!/usr/bin/env python3
"""Checks that the checker names each rule that a history breaks, and none for a clean history."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import schedule  # noqa: E402
from checker import Checker, request_timeline  # noqa: E402
from history import (AdminCall, Attempt, Connection, Drain, History, Process, Purge, Request,
                     Standby)  # noqa: E402


def served_request(history, reference="r1", written_at=10.0, effect="repeatable"):
    """Adds a request that was written, sent once and served."""
    request = Request(reference, "n0", 1, "pages", effect, 2.0, 1.0, "obj", written_at)
    request.responses.append((written_at + 0.1, "done", 5000, True))
    history.requests.append(request)
    history.attempts.append(Attempt(reference, "s-1", None, 0.9, written_at + 0.02, "n0", written_at + 0.09, "OK"))
    return request


class CheckerTest(unittest.TestCase):
    def setUp(self):
        self.history = History(1, ended_at=100.0)
        self.history.processes[1] = Process(1, "n0", 0.0, ready_at=1.0)
        self.connection = Connection(1, "n0", 2.0)
        self.history.connections[1] = self.connection
        self.request = served_request(self.history)
        self.attempt = self.history.attempts[0]

    def assert_rules(self, *rules):
        self.assertEqual({one.rule for one in Checker(self.history).check()}, set(rules))

    def test_clean_history(self):
        self.assert_rules()

    def test_no_response(self):
        self.request.responses.clear()
        self.assert_rules("lost")

    def test_no_response_before_its_connection_ended(self):
        self.request.responses.clear()
        self.connection.instance_closed_at = 10.2
        self.assert_rules("lost")
        self.connection.instance_closed_at = 10.03  # written just before the connection ended
        self.assert_rules()

    def test_late_response(self):
        self.request.responses[0] = (11.4, "later", None, True)
        self.attempt.outcome = "BUSY"
        self.assert_rules()
        self.request.responses[0] = (11.6, "later", None, True)
        self.assert_rules("lost")
        self.history.processes[1].pauses.append((10.2, 10.5))
        self.assert_rules()

    def test_repeat_after_the_window_of_the_first_try(self):
        first = served_request(self.history, "r2", 20.0, "by_key")
        second = served_request(self.history, "r3", 21.5, "by_key")
        first.key = second.key = "k"
        second.responses[0] = (22.4, "done", 5000, True)
        self.history.attempts[-1].outcome = None
        self.assert_rules()  # within the window of 2 s
        repeat = Attempt("r3", "s-2", None, 0.5, 21.9, "n0", 22.0, "OK")
        self.history.attempts.append(repeat)
        self.assert_rules()
        repeat.arrived_at, repeat.ended_at = 22.2, 22.3
        self.assert_rules("effect")

    def test_two_responses(self):
        self.request.responses.append((10.2, "done", 5000, True))
        self.assert_rules("one answer")

    def test_wrong_bytes(self):
        self.request.responses[0] = (10.1, "done", 5000, False)
        self.assert_rules("bytes")

    def test_killed_process(self):
        self.request.responses.clear()
        process = self.history.processes[1]
        process.killed_at = process.ended_at = 10.3
        self.assert_rules()
        process.sigterm_at = 8.0  # after SIGTERM, a request that SIGKILL leaves unanswered is lost
        self.assert_rules("lost")

    def test_two_attempts_at_once(self):
        self.attempt.ended_at = 10.3
        self.history.attempts.append(Attempt("r1", "s-2", None, 0.9, 10.05, "n0", 10.09, "OK"))
        self.assert_rules("two attempts")

    def test_second_execution_of_a_class_that_runs_once(self):
        self.request.effect = "once"
        self.assert_rules()
        self.attempt.outcome = "ERR"
        self.history.attempts.append(Attempt("r1", "s-2", None, 0.8, 10.095, "n0", 10.099, "OK"))
        self.assert_rules("effect")
        self.attempt.outcome = "BUSY"  # the server did not execute it
        self.assert_rules()

    def test_retry_after_key_expired(self):
        self.request.effect, self.request.timeout = "by_key", 5.0
        self.request.responses[0] = (12.5, "done", 5000, True)
        self.attempt.outcome = "ERR"
        self.history.attempts.append(Attempt("r1", "s-2", None, 0.8, 12.3, "n0", 12.4, "OK"))
        self.assert_rules("effect")

    def test_rejection_after_possible_execution(self):
        self.request.effect = "once"
        self.request.responses[0] = (10.1, "later", None, True)
        self.attempt.outcome = None
        self.assert_rules("effect")

    def test_attempt_after_the_response(self):
        self.history.attempts.append(Attempt("r1", "s-2", None, 0.1, 10.3, "n0", 10.4, "OK"))
        self.assert_rules("after the answer")

    def test_attempt_after_the_client_cancelled(self):
        self.request.responses.clear()
        self.request.cancelled_at = 10.01
        self.attempt.arrived_at = 10.3
        self.attempt.ended_at = 10.35
        self.attempt.budget = 0.1
        self.assert_rules("client gone")

    def test_budget_above_time_left(self):
        self.attempt.budget = 1.3
        self.assert_rules("budget")

    def test_purged_copy(self):
        self.history.purges.append(Purge("obj", 8.0, 6000, {"n0": 8.5}))
        self.assert_rules("purge")
        self.history.purges[0].received_at["n0"] = 9.5  # less than a second before the copy was served
        self.assert_rules()

    def test_draining_server(self):
        self.history.drains.append(Drain("s-1", 9.0, received_at={"n0": 9.0}))
        self.assert_rules("drain")
        self.history.drains[0].received_at["n0"] = 9.6
        self.assert_rules()

    def test_idle_connection_open_in_standby(self):
        self.history.standbys.append(Standby("n0", 20.0, 26.0, "active"))
        self.assert_rules("standby")
        self.connection.instance_closed_at = 21.0
        self.assert_rules()

    def test_recent_request_open_in_standby(self):
        self.history.standbys.append(Standby("n0", 6.2, 12.0, "active"))  # the check is at 10.2
        self.connection.instance_closed_at = 11.0
        self.request.responses[0] = (10.5, "done", 5000, True)
        self.assert_rules("standby")
        self.request.written_at, self.request.timeout = 8.1, 3.0
        self.assert_rules()

    def test_ready_during_standby(self):
        self.connection.instance_closed_at = 19.0
        self.history.standbys.append(Standby("n0", 20.0, 26.0, "active"))
        self.history.admin_calls.append(AdminCall("n0", "status", 22.0, 22.1, "done serving"))
        self.assert_rules("standby")

    def test_not_ready_after_active(self):
        self.connection.instance_closed_at = 19.0
        self.history.standbys.append(Standby("n0", 20.0, 26.0, "active"))
        self.history.admin_calls.append(AdminCall("n0", "status", 28.5, 28.6, "error standby"))
        self.assert_rules("standby")

    def test_late_admin_answer(self):
        self.history.admin_calls.append(AdminCall("n0", "status", 30.0, 31.5, "done serving"))
        self.assert_rules("admin")
        self.history.admin_calls[0] = AdminCall("n0", "status", 30.0, None, None)
        self.assert_rules("admin")

    def test_process_that_is_never_ready(self):
        self.history.processes[1].ready_at = 10.5
        self.assert_rules("ready")

    def test_crash(self):
        self.history.processes[1].ended_at = 50.0
        self.history.processes[1].exit_status = -11
        self.assert_rules("crash")

    def test_exit_after_sigterm(self):
        process = self.history.processes[1]
        process.sigterm_at, process.ended_at, process.exit_status = 49.0, 50.0, 0
        self.assert_rules()

    def test_timeline_names_all_sides(self):
        self.history.faults.append((9.5, "server_hang s-1"))
        text = "\n".join(request_timeline(self.history, "r1"))
        for part in ("client: written", "server s-1: request", "client: answer done", "fault: server_hang s-1"):
            self.assertIn(part, text)


class ScheduleTest(unittest.TestCase):
    def test_one_seed_gives_one_schedule(self):
        self.assertEqual(schedule.draw_day(7, 60), schedule.draw_day(7, 60))
        self.assertNotEqual(schedule.draw_day(7, 60), schedule.draw_day(8, 60))

    def test_every_fault_is_drawn(self):
        drawn = {fault.kind for seed in range(40) for fault in schedule.draw_day(seed, 60).faults}
        self.assertEqual(drawn, set(schedule.FAULTS))


if __name__ == "__main__":
    unittest.main()

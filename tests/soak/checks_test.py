"""Tests that each check of the soak reports the violation that it guards against."""

import os
import pathlib
import tempfile
import types
import unittest

import checks
from callers import Request
from deployment import Process


def request(number, kind="unsafe", outcome=200, router="front-0", at=1.0):
    result = Request(number, kind, "plain", 7)
    result.outcome, result.router, result.written_at, result.ended_at = outcome, router, at, at + 0.1
    return result


class ChecksTest(unittest.TestCase):
    def test_exception_that_nothing_caught(self):
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "front-0.log"
            log.write_text('{"event":919,"name":"server-asked"}\n{"event":920,"name":"fiber-failed"}\n')
            self.assertEqual(len(checks.check_fiber_failures([log])), 1)

    def test_wrong_responses(self):
        wrong = request(1)
        wrong.problem = "a response to another request"
        self.assertEqual(len(checks.check_responses([wrong, request(2)])), 1)

    def test_non_idempotent_request_runs_twice(self):
        run_once, run_twice = request(1), request(2)
        runs = {run_once.id: [(1, 7, "a")], run_twice.id: [(1, 7, "a"), (2, 7, "b")]}
        self.assertEqual(len(checks.check_executions([run_once, run_twice], runs)), 1)
        self.assertEqual(checks.check_executions([request(2, kind="safe")], {run_twice.id: runs[run_twice.id]}), [])

    def test_rejected_request_runs(self):
        refused = request(1, outcome=503)
        self.assertEqual(len(checks.check_executions([refused], {refused.id: [(1, 7, "a")]})), 1)
        self.assertEqual(checks.check_executions([refused], {}), [])

    def test_unsent_request_runs(self):
        self.assertEqual(len(checks.check_executions([], {"x": [(1, 7, "a")]})), 1)

    def test_two_owners_run_one_key(self):
        leases = [(0, 31, 0, 100, "a"), (0, 31, 50, 150, "b")]
        both = {"1": [(60, 7, "a")], "2": [(70, 7, "b")]}
        self.assertEqual(len(checks.check_single_owner(both, leases, {})), 1)
        self.assertEqual(checks.check_single_owner({"1": [(60, 7, "a")]}, leases, {}), [])
        self.assertEqual(checks.check_single_owner(both, leases, {"a": 40}), [])

    def test_two_holders_of_one_key(self):
        leases = [(0, 31, 0, 100, "a"), (0, 31, 50, 150, "b")]
        self.assertEqual(len(checks.check_single_holder(leases, {})), 1)
        self.assertEqual(checks.check_single_holder(leases, {"a": 40}), [])
        self.assertEqual(checks.check_single_holder([(0, 31, 0, 50, "a"), (0, 31, 50, 150, "b")], {}), [])
        self.assertEqual(checks.check_single_holder([(0, 31, 0, 50, "a"), (0, 31, 40, 90, "a")], {}), [])
        self.assertEqual(len(checks.check_single_holder([(0, 31, 0, 9, "a"), (16, 47, 0, 9, "b")], {})), 1)

    def test_next_owner_without_a_higher_token(self):
        def violations(token, owner="b", keys=(0, 31)):
            return checks.check_rising_tokens([(3, *keys, token, owner), (1, 0, 31, 5, "a"), (2, 0, 31, 6, "a")])
        self.assertEqual(len(violations(5)), 1)
        self.assertEqual(len(violations(6)), 1)
        self.assertEqual(violations(7), [])
        self.assertEqual(violations(6, owner="a"), [])
        self.assertEqual(violations(5, keys=(32, 63)), [])

    def test_request_cut_off_by_a_stop(self):
        cut = request(1, outcome="closed")
        runs = {cut.id: [(1, 7, "a")]}
        self.assertEqual(len(checks.check_graceful_stops([cut], runs, [("front-0", 0.5, 2.0)])), 1)
        self.assertEqual(checks.check_graceful_stops([cut], runs, [("front-1", 0.5, 2.0)]), [])

    def test_deadly_request_goes_on_reaching_servers(self):
        sent = [request(i, kind="safe", at=float(i)) for i in range(1, 12)]

        def violations(runs_until, disturbed=()):
            runs = {r.id: [(int(r.written_at * 1e6), 7, ("i", r.written_at))] for r in sent[:runs_until]}
            return checks.check_deadly_request(sent, runs, disturbed, 3.0)
        self.assertEqual(len(violations(10)), 1)
        self.assertEqual(violations(9), [])
        self.assertEqual(violations(10, [("front-0", 6.5, 7.5)]), [])
        self.assertEqual(len(violations(10, [("front-1", 6.5, 7.5)])), 1)

    def test_requests_not_served_after_recovery(self):
        self.assertEqual(len(checks.check_recovery([request(1, outcome=503)], 0.5)), 1)
        self.assertEqual(len(checks.check_recovery([], 0.5)), 1)
        self.assertEqual(checks.check_recovery([request(1)], 0.5), [])

    def test_expected_exits(self):
        with tempfile.TemporaryDirectory() as folder:
            for command, expected in ((["true"], False), (["sleep", "60"], True)):
                process = Process(command, {"PATH": os.environ["PATH"]}, pathlib.Path(folder) / "log")
                if command[0] == "true":
                    process.popen.wait()
                else:
                    process.kill_and_wait()
                self.assertEqual(process.is_exit_expected(), expected)

    def test_reads_server_logs(self):
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "s.log"
            log.write_text("hold 10 0 31 5 100\nhold 50 0 31 5 100\nhold 55 32 63 5 -1\n"
                           "run 60 ab 7\nrelease 70 0 31 6\n")
            server = types.SimpleNamespace(logs=[("i-1", 3, log)])
            runs, leases, grants = checks.read_server_logs(types.SimpleNamespace(all_servers=[server]))
        self.assertEqual(runs["ab"], [(60, 7, ("i-1", 3))])
        self.assertEqual(leases, [(0, 31, 10, 70, ("i-1", 3)), (32, 63, 55, 54, ("i-1", 3))])
        self.assertEqual(grants, [(10, 0, 31, 5, ("i-1", 3)), (50, 0, 31, 5, ("i-1", 3))])


if __name__ == "__main__":
    unittest.main()

"""Shows that each check of the soak finds what it is there for."""

import os
import pathlib
import tempfile
import types
import unittest

import checks
from callers import Request
from deployment import Process


def request(number, kind="unsafe", outcome=200, router="front-0", at=1.0):
    made = Request(number, kind, "plain", 7)
    made.outcome, made.router, made.written_at, made.ended_at = outcome, router, at, at + 0.1
    return made


class ChecksTest(unittest.TestCase):
    def test_wrong_answers(self):
        wrong = request(1)
        wrong.problem = "an answer to another request"
        self.assertEqual(len(checks.check_answers([wrong, request(2)])), 1)

    def test_runs_twice(self):
        once, twice = request(1), request(2)
        runs = {once.id: [(1, 7, "a")], twice.id: [(1, 7, "a"), (2, 7, "b")]}
        self.assertEqual(len(checks.check_runs([once, twice], runs)), 1)
        self.assertEqual(checks.check_runs([request(2, kind="safe")], {twice.id: runs[twice.id]}), [])

    def test_refused_and_run(self):
        refused = request(1, outcome=503)
        self.assertEqual(len(checks.check_runs([refused], {refused.id: [(1, 7, "a")]})), 1)
        self.assertEqual(checks.check_runs([refused], {}), [])

    def test_runs_nobody_asked_for(self):
        self.assertEqual(len(checks.check_runs([], {"x": [(1, 7, "a")]})), 1)

    def test_two_owners(self):
        holds = [(0, 31, 0, 100, "a"), (0, 31, 50, 150, "b")]
        both = {"1": [(60, 7, "a")], "2": [(70, 7, "b")]}
        self.assertEqual(len(checks.check_owners(both, holds, {})), 1)
        self.assertEqual(checks.check_owners({"1": [(60, 7, "a")]}, holds, {}), [])
        self.assertEqual(checks.check_owners(both, holds, {"a": 40}), [])
        self.assertEqual(len(checks.check_owners({}, [(0, 31, 0, 9, "a"), (16, 47, 0, 9, "b")], {})), 1)

    def test_cut_by_a_stop(self):
        cut = request(1, outcome="closed")
        runs = {cut.id: [(1, 7, "a")]}
        self.assertEqual(len(checks.check_stops([cut], runs, [("front-0", 0.5, 2.0)])), 1)
        self.assertEqual(checks.check_stops([cut], runs, [("front-1", 0.5, 2.0)]), [])

    def test_no_recovery(self):
        self.assertEqual(len(checks.check_recovery([request(1, outcome=503)], 0.5)), 1)
        self.assertEqual(len(checks.check_recovery([], 0.5)), 1)
        self.assertEqual(checks.check_recovery([request(1)], 0.5), [])

    def test_ends_of_processes(self):
        with tempfile.TemporaryDirectory() as folder:
            for words, wanted in ((["true"], False), (["sleep", "60"], True)):
                process = Process(words, {"PATH": os.environ["PATH"]}, pathlib.Path(folder) / "log")
                if words[0] == "true":
                    process.popen.wait()
                else:
                    process.end()
                self.assertEqual(process.is_end_wanted(), wanted)

    def test_reads_what_servers_print(self):
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "s.log"
            log.write_text("hold 10 0 31 5 100\nhold 50 0 31 5 100\nrun 60 ab 7\nrelease 70 0 31 6\n")
            server = types.SimpleNamespace(logs=[("i-1", 3, log)])
            runs, holds = checks.read_servers(types.SimpleNamespace(servers=[server]))
        self.assertEqual(runs["ab"], [(60, 7, ("i-1", 3))])
        self.assertEqual(holds, [(0, 31, 10, 70, ("i-1", 3))])


if __name__ == "__main__":
    unittest.main()

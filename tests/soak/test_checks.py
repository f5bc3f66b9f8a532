"""The checks of the soak on histories with known violations."""

import dataclasses
import pathlib
import socket
import sys
import unittest

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "e2e"))

import checks
import fleet
from callers import Request
from checks import Fault
from soak import Run

ENTRY, OTHER = "127.0.0.14", "127.0.0.15"
CUT = Request(ENTRY, "GET", "/j/a", 3.0, sent_at=10.0, ended_at=10.5)
STOP = Fault("stop", ENTRY, began_at=9.0, ended_at=12.0, planned=True)


class UnansweredRequests(unittest.TestCase):
    def count(self, request, *faults):
        return len(checks.unanswered_requests([request], list(faults)))

    def test_request_cut_under_planned_stop(self):
        self.assertEqual(self.count(CUT, STOP), 1)
        self.assertEqual(self.count(dataclasses.replace(CUT, status=504), STOP), 0)

    def test_request_that_may_not_have_been_read(self):
        self.assertEqual(self.count(dataclasses.replace(CUT, ended_at=10.15), STOP), 0)

    def test_unplanned_fault_within_contact_time(self):
        self.assertEqual(self.count(CUT, STOP, Fault("kill", OTHER, 5.0, 7.5)), 0)
        self.assertEqual(self.count(CUT, STOP, Fault("pause", OTHER, 10.2)), 0)
        self.assertEqual(self.count(CUT, STOP, Fault("kill", OTHER, 5.0, 6.5)), 1)
        self.assertEqual(self.count(CUT, STOP, Fault("kill", OTHER, 10.6)), 1)


class LostJobs(unittest.TestCase):
    def test_accepted_job_that_is_gone_or_shown_as_ended(self):
        for status, body in [(410, "{}"), (200, '{"state":"failed"}'), (200, '{"state":"canceled"}')]:
            asked = dataclasses.replace(CUT, status=status, body=body)
            self.assertEqual(len(checks.lost_jobs([asked], {"a": 9.0})), 1)
            self.assertEqual(checks.lost_jobs([asked], {"a": 11.0}), [])
        self.assertEqual(checks.lost_jobs([dataclasses.replace(CUT, status=200, body='{"state":"pending"}')],
                                          {"a": 9.0}), [])


class IdleTasks(unittest.TestCase):
    def count(self, runs, *faults):
        return len(checks.idle_tasks({"a.0.0.0": runs}, {"a.0.0.0": 0.0}, list(faults), 30.0))

    def test_task_that_is_never_started(self):
        self.assertEqual(self.count([]), 1)

    def test_task_that_is_not_started_again(self):
        self.assertEqual(self.count([(1.0, 10.0), (12.5, 30.0)]), 0)
        self.assertEqual(self.count([(1.0, 10.0), (13.5, 30.0)]), 1)

    def test_fault_starts_a_new_calm_time(self):
        self.assertEqual(self.count([(1.0, 10.0), (18.5, 30.0)], Fault("kill", OTHER, 9.5, 12.0)), 0)
        self.assertEqual(self.count([(1.0, 10.0), (19.5, 30.0)], Fault("kill", OTHER, 9.5, 12.0)), 1)
        self.assertEqual(self.count([(1.0, 10.0)], Fault("kill", OTHER, 9.5, 12.0), Fault("kill", OTHER, 18.0, 24.0)),
                         0)


class LongRunningRuns(unittest.TestCase):
    def test_two_runs_at_once(self):
        output = "".join(f"LONG-RUNNING {what} a.0.0.0 {at_ms}\n" for what, at_ms in [
            ("started", 1000), ("started", 2000), ("failed", 3000), ("stopped", 4000), ("started", 5000)])
        self.assertEqual(Run.long_running_runs(output),
                         {"a.0.0.0": [(1.0, 3.0), (2.0, 4.0), (5.0, float("inf"))]})


class TasksOfLostServers(unittest.TestCase):
    def count(self, runs, *faults, end_at=30.0):
        return len(checks.tasks_of_lost_servers({"a.0.0.0": runs}, {10.0}, list(faults), end_at))

    def test_task_that_waits_longer_than_the_lease(self):
        self.assertEqual(self.count([(1.0, 10.0), (18.9, 30.0)]), 0)
        self.assertEqual(self.count([(1.0, 10.0), (19.1, 30.0)]), 1)
        self.assertEqual(self.count([(1.0, 10.0)]), 1)
        self.assertEqual(self.count([(1.0, 10.0)], end_at=18.0), 0)

    def test_run_that_ended_otherwise(self):
        self.assertEqual(self.count([(1.0, 9.0), (19.1, 30.0)]), 0)

    def test_leaders_that_change_do_not_extend_the_time(self):
        stop = Fault("stop", OTHER, 12.0, 15.9, planned=True)
        self.assertEqual(self.count([(1.0, 10.0), (19.1, 30.0)], stop), 1)
        self.assertEqual(self.count([(1.0, 10.0), (19.1, 30.0)], dataclasses.replace(stop, ended_at=16.1)), 0)
        self.assertEqual(self.count([(1.0, 10.0), (19.1, 30.0)], Fault("kill", OTHER, 11.0, 12.5)), 0)


class RelayPorts(unittest.TestCase):
    def test_stopped_relays_release_their_ports(self):
        # Two tests with relays on the same ports follow each other in one process.
        for _ in range(2):
            relays = fleet.Relays()
            relays.add(("a", "b"), 28990, 28991)
            relays.thread.start()
            with socket.create_connection(("127.0.0.1", 28990), timeout=2):
                pass
            relays.stop()


if __name__ == "__main__":
    unittest.main()

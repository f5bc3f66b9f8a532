"""Submissions that arrive after their cancelling was answered with "no such job". They must never run."""

import concurrent.futures
import http.client
import json
import signal
import socket
import time
import unittest

from fleet import wait_for
from scheduler_group import (CALLER_PORT, ENTRY, OTHER_ENTRY, ROUTE, SchedulerGroup, request, send_and_half_close)

JOB = "fedcba9876543210"
BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 100}]})
# A start that is due takes some tens of milliseconds.
WATCH_S = 3.0
FLOOD_CONNECTIONS, FLOOD_CANCELS = 100, 12000
# A cancel gets 503 or 504 while there is no leader.
MAX_TRIES = 10


class LateSubmissions(SchedulerGroup):
    def submit_and_keep_open(self, deadline_ms):
        """Sends a submission to the stopped entry. The connection stays open until the end of the test."""
        connection = socket.create_connection((ENTRY, CALLER_PORT), timeout=6.0)
        self.addCleanup(connection.close)
        connection.sendall(f"POST /queue/{JOB} HTTP/1.1\r\nHost: {ROUTE['host']}\r\nDeadline-Ms: {deadline_ms}\r\n"
                           f"Content-Length: {len(BODY)}\r\n\r\n{BODY}".encode())
        return connection

    def cancel(self, job=JOB):
        return request(OTHER_ENTRY, CALLER_PORT, "DELETE", f"/queue/{job}", timeout=3.0)

    def confirm_cancel(self):
        """Cancels until it is confirmed: without a leader the answer is 503."""
        wait_for("the cancel to be confirmed", lambda: self.cancel() == 410)

    def cancel_unknown(self, number):
        """Cancels unknown ids over one connection. Returns the number of those that are confirmed."""
        confirmed = 0
        connection = http.client.HTTPConnection(OTHER_ENTRY, CALLER_PORT, timeout=6.0)
        for i in range(FLOOD_CANCELS // FLOOD_CONNECTIONS):
            for _ in range(MAX_TRIES):
                connection.request("DELETE", f"/queue/a{number:07x}{i:08x}", headers={"Host": ROUTE["host"]})
                response = connection.getresponse()
                response.read()
                if response.status == 410:
                    confirmed += 1
                    break
        connection.close()
        return confirmed

    def check_never_runs(self):
        time.sleep(WATCH_S)
        runs = [r for w in self.workers.values() for r in w.runs if r[1].startswith(JOB)]
        self.assertEqual(runs, [])
        self.assertEqual(request(OTHER_ENTRY, CALLER_PORT, "GET", f"/queue/{JOB}"), 410)

    def test_entry_stopped_for_longer_than_the_callers_timeout(self):
        self.processes[ENTRY].send_signal(signal.SIGSTOP)
        connection = self.submit_and_keep_open(3000)
        time.sleep(3.0)
        self.confirm_cancel()
        self.processes[ENTRY].send_signal(signal.SIGCONT)
        self.assertTrue(connection.recv(4096).startswith(b"HTTP/1.1 503 "))
        self.check_never_runs()

    def test_leader_killed_after_the_cancel(self):
        self.processes[ENTRY].send_signal(signal.SIGSTOP)
        self.submit_and_keep_open(60000)
        self.confirm_cancel()
        self.processes[self.leader].kill()
        self.processes[self.leader].wait()
        wait_for("another leader", self.find_leader)
        self.processes[ENTRY].send_signal(signal.SIGCONT)
        self.check_never_runs()

    def test_flood_of_cancels_after_the_cancel(self):
        self.processes[ENTRY].send_signal(signal.SIGSTOP)
        self.submit_and_keep_open(60000)
        self.confirm_cancel()
        with concurrent.futures.ThreadPoolExecutor(FLOOD_CONNECTIONS) as flood:
            self.assertEqual(sum(flood.map(self.cancel_unknown, range(FLOOD_CONNECTIONS))), FLOOD_CANCELS)
        self.processes[ENTRY].send_signal(signal.SIGCONT)
        self.check_never_runs()

    def test_caller_that_closes_its_sending_side_is_answered(self):
        for i, version in enumerate(("HTTP/1.1", "HTTP/1.0")):
            wait_for("an answer", lambda: send_and_half_close(ENTRY, CALLER_PORT, "POST", f"/queue/{i:015x}f", BODY,
                                                              version) == 200)


if __name__ == "__main__":
    unittest.main()

"""Instances of the job service that are stopped while they owe answers: every request that was read whole gets a
complete response before the process exits."""

import http.client
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BUILD, wait_for

SCHEDULERS = ["127.0.0.21", "127.0.0.22", "127.0.0.23"]
ENTRY = "127.0.0.24"
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7510, 7511, 7512, 7513
GRACE_SECONDS = 6
CONFIG = {"version": 1,
          "routes": [{"name": "r", "host": "jobs.example", "path_prefix": "/queue/", "kind": "job", "timeout_ms": 9000,
                      "target_latency_ms": 600, "priority": 0, "service": "s", "max_attempts": 3, "slack_factor": 2.0,
                      "public": True}],
          "services": [{"name": "s", "enforce_capacity": True, "standby": False}],
          "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                     "idle_timeout_ms": 15000},
          "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1, "weight": 1,
                       "cap": {"cpu": 1000, "mem_mb": 1000, "gpu": 0}}]}


def request(address, port, method, path, headers=None, body=None, timeout=15):
    """Sends one request. Returns its status, or the name of the error that ended the connection without a response."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as e:
        return type(e).__name__
    finally:
        connection.close()


class Call(threading.Thread):
    """A request in a thread of its own."""

    def __init__(self, *args, **kwargs):
        super().__init__(daemon=True)
        self.args, self.kwargs, self.outcome = args, kwargs, None
        self.start()

    def run(self):
        self.outcome = request(*self.args, **self.kwargs)

    def result(self, timeout=15):
        self.join(timeout)
        return self.outcome


class JobServiceShutdown(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-job-shutdown-"))
        self.processes = {}
        self.addCleanup(self.stop_all)
        for address in [*SCHEDULERS, ENTRY]:
            self.start(address)
        wait_for("the entry to be ready", lambda: request(ENTRY, READY_PORT, "GET", "/readyz") == 200)

    def start(self, address, **changes):
        settings = {"role": "entry" if address == ENTRY else "scheduler", "id": address, "data_centre": "north",
                    "listen": {"peers": f"{address}:{PEER_PORT}"}, "seeds": SCHEDULERS, "first_start": True,
                    "cluster_secret": "e2e", "bounds": {"grace_s": GRACE_SECONDS}}
        if address == ENTRY:
            settings["listen"] |= {"callers": f"{address}:{CALLER_PORT}", "readiness": f"{address}:{READY_PORT}"}
        else:
            settings["listen"]["control"] = f"{address}:{CONTROL_PORT}"
            settings["data_folder"] = str(self.folder / address)
        settings |= changes
        file = self.folder / f"{address}.json"
        file.write_text(json.dumps(settings))
        with open(self.folder / f"{address}.log", "ab") as log:
            # Python ignores SIGXFSZ; children that inherit that see a write beyond a limit fail.
            self.processes[address] = subprocess.Popen([BUILD / "fescued", "--config", file], stdout=log, stderr=log,
                                                       restore_signals=False)

    def stop_all(self):
        for p in self.processes.values():
            p.send_signal(signal.SIGCONT)
            p.kill()
            p.wait()
        shutil.rmtree(self.folder)

    def signal_schedulers(self, number, but=None):
        for address in SCHEDULERS:
            if address != but:
                self.processes[address].send_signal(number)

    def break_disk(self, address):
        """Every further write to the data folder fails."""
        size = (self.folder / address / "log").stat().st_size
        resource.prlimit(self.processes[address].pid, resource.RLIMIT_FSIZE, (size, size))

    def leader(self):
        """The scheduler whose metrics or log show that it leads."""
        for address in SCHEDULERS:
            if "event=leading" in (self.folder / f"{address}.log").read_text():
                return address
        return None

    def stop_entry_with_open_call(self, deadline_ms):
        """Returns the outcome of a call that no scheduler answers, on an entry that is stopped meanwhile."""
        self.signal_schedulers(signal.SIGSTOP)
        call = Call(ENTRY, CALLER_PORT, "GET", "/queue/00000000000000a1", {"Deadline-Ms": str(deadline_ms)})
        time.sleep(0.3)
        self.processes[ENTRY].send_signal(signal.SIGTERM)
        outcome = call.result()
        self.assertEqual(self.processes[ENTRY].wait(GRACE_SECONDS), 0)
        return outcome

    def test_last_answer_is_written_before_a_draining_entry_exits(self):
        # The answer is due in the tick that finds no other call open, after the load balancer's two checks.
        self.assertEqual(self.stop_entry_with_open_call(4000), 504)

    def test_call_open_at_the_end_of_the_grace_period_is_answered(self):
        self.assertEqual(self.stop_entry_with_open_call(9000), 504)

    def test_request_forwarded_by_a_stopping_scheduler_is_answered(self):
        leader = wait_for("a leader", self.leader)
        follower = next(a for a in SCHEDULERS if a != leader)
        self.processes[leader].send_signal(signal.SIGSTOP)
        call = Call(follower, CONTROL_PORT, "GET", "/config")
        time.sleep(0.05)
        self.processes[follower].send_signal(signal.SIGTERM)
        self.assertEqual(call.result(), 503)
        self.assertEqual(self.processes[follower].wait(GRACE_SECONDS), 0)

    def test_order_at_a_leader_whose_disk_fails_is_answered_but_not_acknowledged(self):
        leader = wait_for("a leader", self.leader)
        self.break_disk(leader)
        call = Call(leader, CONTROL_PORT, "PUT", "/config", body=json.dumps(CONFIG))
        self.assertEqual(call.result(), 503)
        self.assertEqual(self.processes[leader].wait(GRACE_SECONDS), 1)

    def test_calls_at_an_entry_survive_a_failure_of_the_leaders_disk(self):
        leader = wait_for("a leader", self.leader)
        wait_for("the config", lambda: request(leader, CONTROL_PORT, "PUT", "/config", body=json.dumps(CONFIG)) == 200)
        self.break_disk(leader)
        job = json.dumps({"spec": "s", "steps": [{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}]})
        self.assertEqual(request(ENTRY, CALLER_PORT, "POST", "/queue/00000000000000a1",
                                 {"Host": "jobs.example", "Deadline-Ms": "9000"}, job), 200)
        self.assertEqual(self.processes[leader].wait(GRACE_SECONDS), 1)

    def test_signals_before_the_loop_runs_are_handled_when_it_runs(self):
        address = SCHEDULERS[0]
        for number, expected in ((signal.SIGHUP, None), (signal.SIGTERM, 0)):
            self.processes[address].kill()
            self.processes[address].wait()
            folder = self.folder / f"data-{number}"
            folder.mkdir()
            os.mkfifo(folder / "identity")
            self.start(address, data_folder=str(folder))
            # The start waits for the identity from here on.
            wait_for("the lock on the data folder", (folder / "lock").exists)
            time.sleep(0.1)
            self.processes[address].send_signal(number)
            time.sleep(0.1)
            # Fails if the process has ended.
            identity = os.open(folder / "identity", os.O_WRONLY | os.O_NONBLOCK)
            os.write(identity, bytes(range(1, 9)))
            os.close(identity)
            if expected is None:
                wait_for("an answer", lambda: request(address, CONTROL_PORT, "GET", "/metrics") == 200)
            else:
                self.assertEqual(self.processes[address].wait(GRACE_SECONDS), expected)

    def test_entry_that_fails_to_start_never_listens_for_callers(self):
        self.processes[ENTRY].kill()
        self.processes[ENTRY].wait()
        for port in (CALLER_PORT, READY_PORT):
            occupied = socket.create_server((ENTRY, port))
            self.addCleanup(occupied.close)
        self.start(ENTRY)
        self.assertEqual(self.processes[ENTRY].wait(GRACE_SECONDS), 1)
        self.assertIn(f"cannot listen on {ENTRY}:{READY_PORT}", (self.folder / f"{ENTRY}.log").read_text())

    def test_repeated_signals_neither_cut_a_call_nor_postpone_the_exit(self):
        self.signal_schedulers(signal.SIGSTOP)
        call = Call(ENTRY, CALLER_PORT, "GET", "/queue/00000000000000a1", {"Deadline-Ms": "9000"})
        time.sleep(0.3)
        began = time.monotonic()
        while self.processes[ENTRY].poll() is None and time.monotonic() - began < 2 * GRACE_SECONDS:
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                self.processes[ENTRY].send_signal(number)
            time.sleep(0.2)
        self.assertLess(time.monotonic() - began, GRACE_SECONDS)
        self.assertEqual(self.processes[ENTRY].returncode, 0)
        self.assertEqual(call.result(), 504)


if __name__ == "__main__":
    unittest.main()

"""Instances that end while requests are open: every request that was read whole gets a complete response that states
whether it may have run."""

import http.client
import json
import resource
import signal
import socket
import subprocess
import threading
import time
import unittest

from fleet import BUILD, Fleet, call, simple_catalogue, wait_for

SHUTDOWN_SECONDS = 30


class Request(threading.Thread):
    """A request in a thread of its own."""

    def __init__(self, send):
        super().__init__(daemon=True)
        self.send, self.answer = send, None
        self.start()

    def run(self):
        self.answer = self.send()

    def status(self):
        """Returns None if the connection ended without a complete response."""
        self.join()
        return self.answer and self.answer[0]

    def refusal(self):
        """Returns the status, the error and whether the request may have run."""
        body = json.loads(self.answer[2]) if self.status() else {}
        return self.status(), body.get("error"), body.get("ran")


class NodeShutdown(unittest.TestCase):
    def start_fleet(self, layout=("dc-1",), disks=(1,), **service):
        self.fleet = Fleet(25000, list(layout), disks)
        self.addCleanup(self.fleet.stop)
        for i in range(1, len(layout) + 1):
            # Python ignores SIGXFSZ; children that inherit that see a write beyond a limit fail.
            self.fleet.instances[i] = subprocess.Popen(
                [BUILD / "fescued", "--config", self.fleet.folder / f"entry-{i}.json"], stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL, restore_signals=False)
        if len(layout) > 1:
            self.fleet.form_cluster()
        wait_for("ready", lambda: self.fleet.ready_count() == len(layout))
        self.fleet.put_catalogue(simple_catalogue(repeatable=False, **service))
        self.key = self.fleet.create_key("north")["key"]

    def start_server(self, **options):
        self.fleet.start_server("s0", "dc-1", **options)
        wait_for("the server", lambda: self.fleet.alive_servers() == 1)
        wait_for("an answer", lambda: self.request("warm-up").status() == 200)

    def request(self, body, timeout=60, **kwargs):
        return Request(lambda: self.fleet.request(1, "quotes", self.key, body, timeout=timeout, **kwargs))

    def signal(self, number):
        self.fleet.instances[1].send_signal(number)

    def exit_status(self, seconds):
        return self.fleet.instances[1].wait(seconds)

    def test_last_response_is_written_before_the_exit(self):
        """The request is refused in the tick that finds no other request open."""
        self.start_fleet()
        requests = [self.request("x", headers={"Request-Timeout-Ms": "2000"}) for _ in range(8)]
        time.sleep(0.3)
        self.signal(signal.SIGTERM)
        self.assertEqual([r.status() for r in requests], [503] * 8)
        self.assertEqual(self.exit_status(SHUTDOWN_SECONDS), 0)

    def test_response_to_a_slow_reader_is_written_before_the_exit(self):
        self.start_fleet()
        self.start_server()
        body = b"x" * (7 << 20)
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            s.connect(("127.0.0.1", self.fleet.caller_port(1)))
            s.sendall(b"POST /v1/services/quotes/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                      + self.key.encode() + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self.assertEqual(s.recv(5), b"HTTP/")
            self.signal(signal.SIGTERM)
            time.sleep(2)
            received = 0
            try:
                while data := s.recv(1 << 20):
                    received += len(data)
            except ConnectionError:
                pass
        self.assertGreater(received, len(body))
        self.assertEqual(self.exit_status(SHUTDOWN_SECONDS), 0)

    def test_requests_open_at_the_end_of_the_shutdown_are_answered(self):
        """One runs on the only slot of the only server, the other is queued for it."""
        self.start_fleet(timeout_ms=60_000, max_run_ms=60_000)
        self.start_server(slots=1)
        running = self.request("running", path="ms-50000")
        time.sleep(0.3)
        queued = self.request("queued")
        time.sleep(0.3)
        self.signal(signal.SIGTERM)
        self.assertEqual(running.refusal(), (504, "outcome_unknown", "unknown"))
        self.assertEqual(queued.refusal(), (503, "draining", "no"))
        self.assertEqual(self.exit_status(2), 0)

    def test_orders_that_wait_to_be_in_force_at_a_stopping_leader_are_answered(self):
        """An order at a leader waits for a frozen instance, while the leader hands over its role."""
        self.start_fleet(["dc-1", "dc-2", "dc-3"], (1, 2, 3))
        leader = self.fleet.leader()
        frozen = next(i for i in (1, 2, 3) if i != leader)
        self.fleet.instances[frozen].send_signal(signal.SIGSTOP)
        self.fleet.instances[leader].send_signal(signal.SIGTERM)
        outcomes, orders = [], []
        while self.fleet.instances[leader].poll() is None:
            orders.append(threading.Thread(target=lambda: outcomes.append(self.order_outcome(leader))))
            orders[-1].start()
            time.sleep(0.02)
        for order in orders:
            order.join()
        self.assertEqual([o for o in outcomes if isinstance(o, str)], [])
        self.assertEqual(self.fleet.instances.pop(leader).returncode, 0)

    def order_outcome(self, i):
        """Returns the status of an order, or the name of the error if a connection ended without a response. A refused
        connection has no status and no error."""
        connection = http.client.HTTPConnection("127.0.0.1", self.fleet.control_port(i), timeout=15)
        try:
            connection.request("POST", "/v1/keys", json.dumps({"team": "north"}),
                               {"Idempotency-Key": f"o-{time.monotonic_ns()}"})
            return connection.getresponse().status
        except ConnectionRefusedError:
            return None
        except (OSError, http.client.HTTPException) as e:
            return type(e).__name__
        finally:
            connection.close()

    def test_requests_at_an_instance_whose_disk_fails_are_answered(self):
        self.start_fleet()
        self.start_server()
        running = self.request("running", path="ms-5000")
        time.sleep(0.3)
        size = (self.fleet.folder / "data-1/log").stat().st_size
        resource.prlimit(self.fleet.instances[1].pid, resource.RLIMIT_FSIZE, (size, size))
        status, body = self.fleet.send_order("POST", "/v1/keys", {"team": "north"})
        self.assertEqual((status, body.get("error"), body.get("ran")), (503, "no_leader", "unknown"))
        self.assertEqual(running.refusal(), (504, "outcome_unknown", "unknown"))
        self.assertEqual(self.exit_status(2), 1)

    def test_instance_that_fails_to_start_never_listens_for_callers(self):
        fleet = Fleet(25000, ["dc-1"], (1,))
        self.addCleanup(fleet.stop)
        for port in (fleet.caller_port(1), fleet.control_port(1)):
            occupied = socket.create_server(("127.0.0.1", port))
            self.addCleanup(occupied.close)
        fleet.start(1)
        self.assertEqual(fleet.instances[1].wait(10), 1)
        self.assertIn(f"cannot listen on 127.0.0.1:{fleet.control_port(1)}", (fleet.folder / "entry-1.log").read_text())

    def test_hangup_cuts_no_request(self):
        self.start_fleet()
        self.start_server()
        running = self.request("running", path="ms-500")
        time.sleep(0.2)
        self.signal(signal.SIGHUP)
        self.assertEqual(running.status(), 200)
        self.assertEqual(call(self.fleet.caller_port(1), "GET", "/readyz")[0], 200)


if __name__ == "__main__":
    unittest.main()

"""Clients that open connections and send no whole request, or do not read the responses: no process exceeds its memory
or its descriptors, and an ordinary request is answered while their connections are open."""

import http.client
import json
import signal
import socket
import struct
import threading
import time

from crowds import (CALLER_PORT, CONTROL_PORT, CROWD, ENTRY, HOST, JOB, LEGAL_BODY, LIMITS, MIB, PEER_PORT,
                    READY_PORT, SCHEDULERS, CrowdCase, padded_job, request_head, run_tests)
from fleet import wait_for
from test_job_shutdown import CONFIG, request

HALF_REQUEST_LINE = b"POST /queue/00000"
HEAD = request_head("POST", "/queue/00000000000000a1", f"Content-Length: {len(JOB)}")
# 15 KB of headers, without the empty line at the end.
LONG_HEAD = HEAD[:-2] + b"".join(b"X-%d: %s\r\n" % (n, b"y" * 1000) for n in range(14))
SHORT_LINES = HEAD[:-2] + b"".join(b"a: b\r\n" for n in range(2000))
# A document of about 400 KB, which GET /config returns whole.
ROUTES = 1700
PORTS = {"callers": (ENTRY, CALLER_PORT), "readiness": (ENTRY, READY_PORT), "control": (SCHEDULERS[0], CONTROL_PORT)}


def large_document():
    route = CONFIG["routes"][0]
    more = [route | {"name": f"r-{n}", "path_prefix": f"/queue-{n}/"} for n in range(ROUTES)]
    return json.dumps(CONFIG | {"version": 2, "routes": [route, *more]})


class ConnectionCrowds(CrowdCase):
    def check_ordinary_requests(self):
        wait_for("an answer of the readiness port", lambda: request(ENTRY, READY_PORT, "GET", "/readyz") == 200)
        wait_for("an answer of the control port",
                 lambda: request(SCHEDULERS[0], CONTROL_PORT, "GET", "/config") == 200)
        wait_for("an answer of the callers' port", lambda: self.submit(1) == 200)

    def check_crowd(self, port, data):
        """The crowd is larger than the number of connections that the port may have."""
        self.start_job_service()
        address, number = PORTS[port]
        for _ in range(2):
            self.send_crowd(address, number, [data] * CROWD)
            self.check_ordinary_requests()
            self.check_processes()

    def test_kept_alive_connection_outlives_a_crowd(self):
        self.start_job_service()
        ordinary = http.client.HTTPConnection(ENTRY, CALLER_PORT, timeout=15)
        for data in [b"", HALF_REQUEST_LINE, LONG_HEAD]:
            ordinary.request("POST", "/queue/0000000000000001", JOB, HOST)
            self.assertEqual(ordinary.getresponse().read() and 200, 200)
            used = ordinary.sock
            self.send_crowd(ENTRY, CALLER_PORT, [data] * CROWD)
            self.check_ordinary_requests()
            self.assertIs(ordinary.sock, used)
        ordinary.request("POST", "/queue/0000000000000001", JOB, HOST)
        self.assertEqual(ordinary.getresponse().status, 200)
        self.assertIs(ordinary.sock, used)
        ordinary.close()

    def test_answers_that_are_not_read(self):
        self.start_job_service()
        wait_for("the document", lambda: request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/config",
                                                 body=large_document()) == 200)
        ask = b"GET /config HTTP/1.1\r\nHost: x\r\n\r\n"
        for address in SCHEDULERS:
            self.send_unread(address, CONTROL_PORT, ask * 50)
        self.check_ordinary_requests()
        self.check_processes()

    def test_answers_that_are_asked_for_at_once(self):
        """The library learns of dropped responses only after it has asked for all the others."""
        self.start_job_service()
        wait_for("the document", lambda: request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/config",
                                                 body=large_document()) == 200)
        self.send_unread(SCHEDULERS[0], CONTROL_PORT, b"GET /config HTTP/1.1\r\nHost: x\r\n", count=56)
        # Time to accept them; a connection that is accepted later only makes the crowd smaller.
        time.sleep(0.5)
        scheduler = self.processes[SCHEDULERS[0]]
        scheduler.send_signal(signal.SIGSTOP)
        for s in self.crowds[-1].sockets:
            s.sendall(b"\r\n" + b"GET /config HTTP/1.1\r\nHost: x\r\n\r\n" * 20)
        scheduler.send_signal(signal.SIGCONT)
        self.check_ordinary_requests()
        self.check_processes()

    def test_answers_that_are_not_read_at_a_follower(self):
        """The leader sends each response to the follower, whose connection to it is never idle."""
        self.start_job_service()
        wait_for("the document", lambda: request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/config",
                                                 body=large_document()) == 200)
        self.send_unread(SCHEDULERS[1], CONTROL_PORT, b"GET /config HTTP/1.1\r\nHost: x\r\n\r\n" * 50)
        # Time to forward the calls; with less the crowd is only smaller.
        time.sleep(2)
        self.check_ordinary_requests()
        self.check_processes()

    def test_small_answers_that_are_not_read(self):
        """They hold no memory to speak of, but all connections of the port."""
        self.start_job_service()
        for address, port in [PORTS["readiness"], PORTS["control"]]:
            # A few at a time, so that the earlier ones have filled their buffers and are not idle.
            for _ in range(CROWD // 10):
                self.send_unread(address, port, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 20000, count=10)
                time.sleep(0.3)
        self.check_ordinary_requests()
        self.check_processes()

    def test_frames_from_unknown_senders(self):
        """The peers' port: frames of the largest size whose sender has not identified itself."""
        self.start_job_service()
        for address in [SCHEDULERS[0], ENTRY]:
            self.send_crowd(address, PEER_PORT, [struct.pack("<I", 60 * MIB) + b" " * MIB] * CROWD)
            self.send_crowd(address, PEER_PORT, [b""] * CROWD)
        self.check_ordinary_requests()
        self.check_processes()

    def test_documents_with_many_values(self):
        self.start_job_service()
        document = b"[" + b"{}," * (LIMITS["max_body_bytes"] // 3 - 2) + b"{}]"
        for address in SCHEDULERS:
            self.assertEqual(request(address, CONTROL_PORT, "PUT", "/config", body=document), 400)
        self.check_ordinary_requests()
        self.check_processes()

    def test_reports_of_many_servers(self):
        """Every server sends a report with the largest legal labels."""
        self.start_job_service()
        report = {"service": "s", "address": "127.0.0.1:1", "zone": "north", "version": "v1", "slots": 8,
                  "state": "ready", "warmup_left_ms": 0, "capacity": {"cpu": 1, "mem_mb": 1}, "seq": 1, "born": 1,
                  "wall_clock_ms": 1, "labels": [f"{n:04096}" for n in range(64)]}
        statuses = {request(address, CONTROL_PORT, "PUT", f"/instances/i-{n}", body=json.dumps(report))
                    for n in range(CROWD) for address in SCHEDULERS[:2]}
        self.assertTrue(statuses <= {200, 503}, statuses)
        small = report | {"labels": ["a"], "seq": 2}
        self.assertEqual(
            request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/instances/i-0", body=json.dumps(small)), 200)
        self.check_ordinary_requests()
        self.check_processes()

    def test_crowds_of_several_kinds_while_the_leader_changes(self):
        self.start_job_service()
        unfinished = request_head("POST", "/queue/00000000000000a2", f"Content-Length: {LEGAL_BODY}") \
            + padded_job(LEGAL_BODY)[:-1]
        for address in SCHEDULERS:
            for port in PORTS.values():
                for data in [HALF_REQUEST_LINE, LONG_HEAD, unfinished]:
                    self.send_crowd(*port, [data] * (CROWD // 3))
            self.processes[address].send_signal(signal.SIGSTOP)
            wait_for("an ordinary request", lambda: self.submit(1) == 200)
            self.processes[address].send_signal(signal.SIGCONT)
        self.check_ordinary_requests()
        self.check_processes()


class LargeHeads(CrowdCase):
    http_changes = {"head_buffer_bytes": 65536}

    def test_single_request_with_the_largest_head(self):
        """Heads of 16 KB, in lines of 1,000, 100 and 40 bytes, are within the platform's limits."""
        self.start_job_service()
        for line_bytes in [1000, 100, 40]:
            lines = [b"X-%04d: " % n + b"y" * (line_bytes - 10) + b"\r\n" for n in range(16300 // line_bytes)]
            head = HEAD[:-2] + b"".join(lines)[:16384 - len(HEAD) - line_bytes]
            head = head[:head.rindex(b"\r\n") + 2] + b"\r\n"
            self.assertGreater(len(head), 14000)
            crowd = self.send_crowd(ENTRY, CALLER_PORT, [head + JOB])
            self.assertEqual(crowd.statuses(), [200])


class HeaderTimeout(CrowdCase):
    """A head that is not received whole in time is dropped, however its bytes arrive."""
    http_changes = {"header_timeout_ms": 300, "idle_timeout_ms": 2000}

    def check_closed(self, sockets):
        for s in sockets:
            s.settimeout(20)
            try:
                self.assertEqual(s.recv(4096), b"")
            except ConnectionError:
                pass

    def test_half_a_head(self):
        self.start_job_service()
        for address, port in PORTS.values():
            crowd = self.send_crowd(address, port, [HALF_REQUEST_LINE] * 8 + [b""] * 8)
            self.check_closed(crowd.sockets)

    def test_a_head_that_trickles(self):
        self.start_job_service()
        crowd = self.send_crowd(ENTRY, CALLER_PORT, [b"G"] * 8)
        stop = threading.Event()

        def trickle():
            while not stop.wait(0.05):
                for s in crowd.sockets:
                    try:
                        s.send(b"x")
                    except OSError:
                        pass

        sender = threading.Thread(target=trickle)
        sender.start()
        try:
            self.check_closed(crowd.sockets)
        finally:
            stop.set()
            sender.join()

    def test_idle_connection_is_kept_beyond_the_header_timeout(self):
        self.start_job_service()
        connection = http.client.HTTPConnection(ENTRY, CALLER_PORT, timeout=15)
        for _ in range(3):
            connection.request("POST", "/queue/0000000000000001", JOB, HOST)
            response = connection.getresponse()
            response.read()
            self.assertEqual(response.status, 200)
            used = connection.sock
            time.sleep(1)
            self.assertIs(connection.sock, used)
        connection.close()

    def test_answer_that_is_not_read(self):
        self.start_job_service()
        wait_for("the document", lambda: request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/config",
                                                 body=large_document()) == 200)
        # Fewer than half of the crowd: other instances may connect meanwhile.
        bound = self.count_descriptors(SCHEDULERS[0]) + 10
        self.send_unread(SCHEDULERS[0], CONTROL_PORT, b"GET /config HTTP/1.1\r\nHost: x\r\n\r\n" * 50, count=30)
        wait_for("the connections to be closed", lambda: self.count_descriptors(SCHEDULERS[0]) <= bound)


def add_tests():
    for port in PORTS:
        for kind, data in {"nothing": b"", "half a request line": HALF_REQUEST_LINE, "long heads": LONG_HEAD,
                           "heads of short lines": SHORT_LINES}.items():
            name = f"test_{port}_{kind}".replace(" ", "_")
            setattr(ConnectionCrowds, name, lambda self, port=port, data=data: self.check_crowd(port, data))


add_tests()

if __name__ == "__main__":
    run_tests()

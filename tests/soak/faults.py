"""Faults of the soak: single ones, and series of planned stops that overlap."""

import shutil
import signal
import threading
import time

from callers import now
from checks import GRACE_SECONDS, Fault

# A restarted scheduler counts as lost until its log has caught up; the deployments allow 4 to 6 s for that.
CATCH_UP_SECONDS = 5.0
# An order to a forgetful server is carried out up to this much later.
LATEST_ORDER_SECONDS = 12.5
# A process that was started this long ago has installed its signal handlers.
START_SECONDS = 1.0


class FaultInjector:
    """Injects faults and keeps their times."""

    def __init__(self, schedulers, entries, rng):
        self.schedulers, self.entries, self.rng = schedulers, entries, rng
        self.faults, self.violations = [], []
        self.farm = None  # the process of worker_farm
        self.began_at = 0.0

    def run(self, end_at, mode):
        """Waits for a scheduler to catch up after each of its unplanned faults and after each series, since three
        schedulers tolerate the loss of only one."""
        self.began_at = now()
        while now() < end_at:
            if mode == "lost":
                self.lose_server_while_leaders_change()
            elif mode == "forgetful":
                self.disturb_schedulers()
            elif mode == "planned" or self.rng.random() < 0.4:
                series = self.rng.choice([self.stop_one, self.stop_all_entries, self.stop_entry_then_schedulers,
                                          self.stop_schedulers_in_turn, self.stop_entry_during_restarts, self.reload])
                series()
                time.sleep(self.rng.uniform(0.5, 2.0) if mode == "planned" else CATCH_UP_SECONDS)
            else:
                self.inject_unplanned()

    def inject_unplanned(self):
        if self.rng.random() < 0.3:
            victim, kind = self.rng.choice(self.entries), self.rng.choice(["kill", "pause"])
        else:
            victim, kind = self.rng.choice(self.schedulers), self.rng.choice(["kill", "kill", "pause", "wipe"])
        fault = self.record(kind, victim, planned=False)
        if kind == "pause":
            victim.send_signal(signal.SIGSTOP)
            time.sleep(self.rng.uniform(0.3, 3.0))
            victim.send_signal(signal.SIGCONT)
        else:
            victim.kill()
            if kind == "wipe":
                shutil.rmtree(victim.data)
            time.sleep(self.rng.uniform(0.05, 1.5))
            victim.start()
        fault.ended_at = now()
        time.sleep(CATCH_UP_SECONDS if victim.scheduler else self.rng.uniform(0.0, 0.5))

    def record(self, kind, instance, planned):
        self.faults.append(Fault(kind, instance.address, now(), planned=planned))
        return self.faults[-1]

    def restart(self, instance, down_seconds):
        """Stops an instance as the platform does, with SIGKILL at the end of the grace period, and starts it again."""
        time.sleep(max(0.0, instance.started_at + START_SECONDS - now()))
        fault = self.record("stop", instance, planned=True)
        instance.send_signal(signal.SIGTERM)
        status = instance.wait(GRACE_SECONDS)
        if status != 0:
            self.violations.append(f"{instance.address} was stopped and ended with status {status} "
                                   f"after {now() - fault.began_at:.2f} s")
        time.sleep(down_seconds)
        instance.start()
        fault.ended_at = now()

    def restart_at(self, *stops):
        """Restarts several instances; each stop is (instance, seconds until it is stopped[, seconds down])."""
        threads = []
        for instance, delay, *down in stops:
            down_seconds = down[0] if down else self.rng.uniform(0.05, 1.5)
            threads.append(threading.Timer(delay, self.restart, (instance, down_seconds)))
            threads[-1].start()
        for t in threads:
            t.join()

    def leader(self):
        """The scheduler that became leader last."""
        return max(self.schedulers, key=lambda s: s.last_elected_ms())

    def stop_one(self):
        self.restart_at((self.rng.choice([self.leader(), *self.schedulers, *self.entries]), 0.0))

    def stop_all_entries(self):
        self.restart_at(*((e, self.rng.uniform(0.0, 1.0)) for e in self.entries))

    def stop_entry_then_schedulers(self):
        """Stops the leader while entries drain, and at times a second scheduler too: the third has no majority, so
        that the entries answer their last calls themselves."""
        delays = [self.rng.uniform(0.0, 0.3) for _ in self.entries]
        entries = self.entries if self.rng.random() < 0.5 else [self.rng.choice(self.entries)]
        leader = self.leader()
        if self.rng.random() < 0.5:
            stops = [(leader, self.rng.uniform(1.8, 2.5))]
        else:
            other = self.rng.choice([s for s in self.schedulers if s is not leader])
            stops = [(s, self.rng.uniform(0.5, 1.2), self.rng.uniform(4.5, 6.0)) for s in (leader, other)]
        self.restart_at(*zip(entries, delays), *stops)

    def stop_schedulers_in_turn(self):
        """Stops each scheduler as soon as the one before it runs again."""
        order = self.rng.sample(self.schedulers, len(self.schedulers))
        if self.rng.random() < 0.5:
            order.sort(key=lambda s: s.last_elected_ms(), reverse=True)
        for scheduler in order:
            self.restart(scheduler, self.rng.uniform(0.05, 0.5))
            time.sleep(self.rng.uniform(0.0, 1.0))

    def stop_entry_during_restarts(self):
        delay = self.rng.uniform(0.0, 2.0)
        entry = threading.Timer(delay, self.restart, (self.rng.choice(self.entries), self.rng.uniform(0.05, 1.5)))
        entry.start()
        self.stop_schedulers_in_turn()
        entry.join()

    def lose_server_while_leaders_change(self):
        """A backend server that runs tasks disappears, and the leader is stopped two or three times within 6 s."""
        self.farm.send_signal(signal.SIGUSR1)
        self.faults.append(Fault("lost server", "worker_farm", now(), now(), planned=True))
        time.sleep(self.rng.uniform(0.0, 0.5))
        for _ in range(self.rng.choice([2, 3])):
            self.restart(self.leader(), self.rng.uniform(0.05, 0.5))
            time.sleep(self.rng.uniform(0.8, 1.8))
        # The lost tasks become due.
        time.sleep(CATCH_UP_SECONDS)

    def disturb_schedulers(self):
        """Stops, kills and pauses one or more schedulers, most often the leader, at overlapping times. Their disks
        stay, so that no more than their availability suffers."""
        leader = self.leader()
        others = [s for s in self.schedulers if s is not leader]
        victims = [leader] if self.rng.random() < 0.8 else []
        victims += self.rng.sample(others, self.rng.choice([0, 0, 1, len(others)]))
        threads = []
        for victim in victims:
            fault = self.rng.choice([self.restart, self.kill_and_start, self.pause, self.pause])
            seconds = self.rng.uniform(0.3, 3.0) if fault == self.pause else self.rng.uniform(0.05, 1.5)
            threads.append(threading.Timer(self.rng.uniform(0.0, 1.0), fault, (victim, seconds)))
            threads[-1].start()
        for t in threads:
            t.join()
        time.sleep(self.rng.uniform(0.5, 3.0))

    def kill_and_start(self, instance, down_seconds):
        fault = self.record("kill", instance, planned=False)
        instance.kill()
        time.sleep(down_seconds)
        instance.start()
        fault.ended_at = now()

    def pause(self, instance, seconds):
        fault = self.record("pause", instance, planned=False)
        instance.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        instance.send_signal(signal.SIGCONT)
        fault.ended_at = now()

    def end_server_faults(self):
        """Ends the faults of forgetful servers and waits until the calls that are delayed have arrived."""
        self.farm.send_signal(signal.SIGUSR2)
        time.sleep(LATEST_ORDER_SECONDS)
        self.faults.append(Fault("forgetful servers", "worker_farm", self.began_at, now(), planned=True))

    def reload(self):
        """Sends SIGHUP to some instances, one of which is stopped shortly after."""
        chosen = self.rng.sample(self.schedulers + self.entries, 2)
        for instance in chosen:
            instance.send_signal(signal.SIGHUP)
        time.sleep(self.rng.uniform(0.0, 0.5))
        if self.rng.random() < 0.5:
            self.restart(chosen[0], 0.3)

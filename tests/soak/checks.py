"""Judges what the callers and worker_farm observed, given the times of the faults."""

import dataclasses

GRACE_SECONDS = 6.0
# A request that was sent this short a time before the connection ended may not have been read.
UNREAD_SECONDS = 0.2
# A request is not judged with an unplanned fault from this long before it to its end.
CONTACT_SECONDS = 3.0
# A long-running task must run again within this time, the last part of a longer time without any fault.
RESTART_SECONDS = 3.0
CALM_SECONDS = 7.0
# A long-running task whose server has disappeared must run again within the longest lease, 6 s, and RESTART_SECONDS,
# whatever leaders follow one another, if the last planned stop begins RESTART_SECONDS before that.
LONGEST_LEASE_SECONDS = 6.0


@dataclasses.dataclass
class Fault:
    kind: str
    address: str
    began_at: float
    ended_at: float = float("inf")
    planned: bool = False

    def overlaps(self, first, last):
        return self.began_at <= last and self.ended_at >= first


def is_judged(request, faults):
    return not any(not f.planned and f.overlaps(request.sent_at - CONTACT_SECONDS, request.ended_at) for f in faults)


def unanswered_requests(requests, faults):
    """Describes the requests that an instance has read and not answered, with planned stops as the only faults."""
    out = []
    for r in requests:
        age = r.ended_at - r.sent_at - r.delay_s
        if r.status or age <= UNREAD_SECONDS or not is_judged(r, faults):
            continue
        stops = [f.began_at for f in faults if f.address == r.address and f.began_at <= r.ended_at]
        instance = f"{r.address}, {f'stopped {r.ended_at - max(stops):.2f} s before' if stops else 'never stopped'}"
        how = "not answered" if r.timed_out else "connection ended without an answer"
        out.append(f"{how}: {r.method} {r.path} on {instance}, sent {age * 1000:.0f} ms before, "
                   f"deadline {r.deadline_s * 1000:.0f} ms")
    return out


def lost_jobs(requests, accepted_at):
    """Describes the accepted jobs that a later GET does not know or shows as ended; none is ever cancelled."""
    out = []
    for r in requests:
        job = r.path.rpartition("/")[2]
        if r.method != "GET" or r.sent_at <= accepted_at.get(job, float("inf")):
            continue
        if r.status == 410 or '"failed"' in r.body or '"canceled"' in r.body:
            out.append(f"accepted job {job} is answered {r.status} {r.body} by {r.address}")
    return out


def idle_tasks(runs, tasks, faults, end_at):
    """Describes the long-running tasks that were not started again although there was no fault for CALM_SECONDS.

    `tasks` maps each task to the time when its job was accepted, `runs` to the (start, end) of its runs."""
    out = []
    for task, accepted_at in tasks.items():
        idle_from = accepted_at
        for began_at, ended_at in [*sorted(runs.get(task, [])), (end_at, end_at)]:
            due = [idle_from + RESTART_SECONDS, *(f.ended_at + CALM_SECONDS for f in faults)]
            missed = [t for t in due if idle_from + RESTART_SECONDS <= t < began_at and
                      not any(f.began_at <= t and f.ended_at > t - CALM_SECONDS for f in faults)]
            if missed:
                out.append(f"long-running task {task} did not run for {began_at - idle_from:.2f} s; "
                           f"it was due {began_at - min(missed):.2f} s before the end of that time")
            idle_from = max(idle_from, ended_at)
    return out


def tasks_of_lost_servers(runs, lost_at, faults, end_at):
    """Describes the long-running tasks that did not run again in time after their server had disappeared.

    `lost_at` has the times at which servers disappeared. Planned stops of the leader don't extend the time."""
    out = []
    for task, periods in runs.items():
        periods = sorted(periods)
        for (_, ended_at), (next_at, _) in zip(periods, [*periods[1:], (float("inf"), 0.0)]):
            due = ended_at + LONGEST_LEASE_SECONDS + RESTART_SECONDS
            if ended_at not in lost_at or next_at <= due or due > end_at:
                continue
            if not any(f.kind != "lost server" and f.overlaps(
                    due - (RESTART_SECONDS if f.planned else CALM_SECONDS), due) for f in faults):
                out.append(f"long-running task {task} did not run for {min(next_at, end_at) - ended_at:.2f} s "
                           "after its server had disappeared")
    return out

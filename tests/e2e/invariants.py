"""Checks invariants against the history that the fake servers record, independently of what the system
reports about itself."""

from collections import Counter, defaultdict


def peak_concurrency(history, key_of):
    """Returns the highest number of concurrent requests for each value of key_of(event)."""
    running, peak = Counter(), Counter()
    for event in sorted(history, key=lambda e: (e.at, e.kind == "start")):
        key = key_of(event)
        running[key] += 1 if event.kind == "start" else -1
        peak[key] = max(peak[key], running[key])
    return peak


def check_limits(test, history, limits):
    """No team runs more requests at the same time than its upper limit."""
    for team, peak in peak_concurrency(history, lambda e: e.team).items():
        test.assertLessEqual(peak, limits[team], f"team {team} ran {peak} requests at the same time")


def check_at_most_once(test, history):
    """No request was started twice. Each request of these tests has a unique body, which identifies it."""
    starts = Counter(e.body for e in history if e.kind == "start")
    repeated = {body: n for body, n in starts.items() if n > 1}
    test.assertEqual(repeated, {}, "non-repeatable requests ran more than once")


def check_answers(test, outcomes, history):
    """Each response is complete and belongs to its request, and none that says "not run" was started."""
    started = {e.body for e in history if e.kind == "start"}
    for _, _, entry, body, answer in outcomes:
        if answer is None:
            continue
        status, headers, text = answer
        if status == 200:
            test.assertEqual(text.decode(), f"echo:{body}")
        elif headers.get("Fescue-Ran") == "no":
            test.assertNotIn(body, started, f"reported as not run, but was started: {text}")


def check_one_pool(test, history):
    """A server works for only one pool within an epoch."""
    pools = defaultdict(set)
    for e in history:
        pools[(e.server, e.epoch)].add(e.pool)
    violations = {k: v for k, v in pools.items() if len(v) > 1}
    test.assertEqual(violations, {})


def refusals(outcomes):
    """Counts the outcomes other than status 200, by error text."""
    kinds = Counter()
    for *_, answer in outcomes:
        if answer is None:
            kinds["no response"] += 1
        elif answer[0] != 200:
            kinds[answer[2].decode()[:90]] += 1
    return kinds

"""Checks what must always hold against the fake servers' own history; the system's word does
not count."""

from collections import Counter, defaultdict


def running_peak(history, of):
    """Most that ran at one time, by the given attribute."""
    now, peak = Counter(), Counter()
    for event in sorted(history, key=lambda e: (e.at, e.kind == "start")):
        key = of(event)
        now[key] += 1 if event.kind == "start" else -1
        peak[key] = max(peak[key], now[key])
    return peak


def check_limits(test, history, limits):
    """No team has more running than its upper limit."""
    for team, peak in running_peak(history, lambda e: e.team).items():
        test.assertLessEqual(peak, limits[team], f"team {team} ran {peak} at one time")


def check_at_most_once(test, history):
    """No body (each request of these tests has its own) was started twice."""
    starts = Counter(e.body for e in history if e.kind == "start")
    twice = {body: n for body, n in starts.items() if n > 1}
    test.assertEqual(twice, {}, "work that may not be repeated ran twice")


def check_answers(test, outcomes, history):
    """Each answer is the caller's own and whole; "not run" is true."""
    started = {e.body for e in history if e.kind == "start"}
    for _, _, entry, body, answer in outcomes:
        if answer is None:
            continue
        status, headers, text = answer
        if status == 200:
            test.assertEqual(text.decode(), f"echo:{body}")
        elif headers.get("Fescue-Ran") == "no":
            test.assertNotIn(body, started, f"said not run, and it ran: {text}")


def check_one_pool(test, history):
    """Under one epoch a server works for one pool."""
    pools = defaultdict(set)
    for e in history:
        pools[(e.server, e.epoch)].add(e.pool)
    mixed = {k: v for k, v in pools.items() if len(v) > 1}
    test.assertEqual(mixed, {})


def refusals(outcomes):
    """Outcomes that are not the answer, by kind."""
    kinds = Counter()
    for *_, answer in outcomes:
        if answer is None:
            kinds["no answer"] += 1
        elif answer[0] != 200:
            kinds[answer[2].decode()[:90]] += 1
    return kinds

"""A request that crashes engines shortly after its first tokens comes again."""

import itertools
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))
import standins as lab
from streams import WHOLE, Engine

#: bounds.contactMs of the deployment.
CONTACT_SECONDS = 3.0
#: RULES.md, BUDGET: "... reaches engines in more than three retries ...".
ALLOWED_RETRIES = 3
REPEATS = 9
REPEAT_SECONDS = 5.0
DEADLY = b'{"notes": "the request that crashes engines"}'
#: The engine writes two events, the second 0.04 s after the first, and then
#: crashes: 0.08 s after it began to write.
EVENTS_BEFORE_CRASH = 2
NUMBERS = itertools.count()


def plan_of(engine, run):
    if lab.TROUBLE and run["body"] == DEADLY:
        return {"crash_after": run["last"] + EVENTS_BEFORE_CRASH}
    return {}


def send_others(record, gateway, stopping, answers):
    """Send streams that may not be resumed, one after the other."""
    while not stopping.wait(0.05):
        number = next(NUMBERS)
        # Each has a body of its own, as sound requests do.
        body = b'{"notes": "%d"}' % number
        answers.append(
            lab.ask(record, gateway, "POST", "/match/q", f"match-{number}", body)
        )


def play(record, store, make_gateway):
    routes = [
        lab.route("ask", "/ask/", "streaming", "tahi-llm", resumable=True),
        lab.route("match", "/match/", "streaming", "tahi-llm", attempts=1),
    ]
    store.put("op", "config", lab.configuration(3, routes, ["tahi-llm"]))
    zones = ("iloilo", "cebu", "bacolod")
    engines = [
        Engine(store, record, f"i-{zone}-{number}", zone, plan_of)
        for zone in zones
        for number in (1, 2, 3)
    ]
    gateways = [make_gateway(f"edge-{zone}-1", zone) for zone in zones]
    for gateway in gateways:
        gateway.start(is_first=True)
    if not all(lab.wait_until(gateway.is_ready, 20) for gateway in gateways):
        return lab.NOT_RUN
    lab.time.sleep(CONTACT_SECONDS + 1.0)
    for number, gateway in enumerate(gateways):
        warm = lab.ask(record, gateway, "POST", "/ask/q", f"warm-{number}", b"{}")
        if warm.body != WHOLE:
            return lab.NOT_RUN
    stopping, answers = threading.Event(), []
    threads = [
        threading.Thread(target=send_others, args=(record, gateway, stopping, answers))
        for gateway in gateways * 3
    ]
    for thread in threads:
        thread.start()
    for number in range(REPEATS):
        gateway = gateways[number % len(gateways)]
        lab.ask(record, gateway, "POST", "/ask/q", f"deadly-{number}", DEADLY)
        lab.time.sleep(REPEAT_SECONDS)
    stopping.set()
    for thread in threads:
        thread.join()
    return judge(record, engines, answers)


def judge(record, engines, answers):
    crashes = sorted(at for engine in engines for at in engine.crashes)
    arrivals = sorted(
        run["began"]
        for engine in engines
        for run in engine.runs
        if run["body"] == DEADLY
    )
    cut = sum(answer.status == 200 and not answer.is_whole for answer in answers)
    record.write(
        "check",
        f"{len(crashes)} crashes, {len(arrivals)} arrivals of the request at"
        f" engines; of {len(answers)} other streams {cut} were cut off",
    )
    if len(crashes) < 3:
        return lab.HELD
    late = [at for at in arrivals if at > crashes[2] + CONTACT_SECONDS]
    record.write(
        "check",
        f"the third crash was at {crashes[2]:.3f} s; {len(late)} arrivals later"
        f" than {CONTACT_SECONDS:.0f} s after it, allowed are {ALLOWED_RETRIES}",
    )
    return lab.BROKEN if len(late) > ALLOWED_RETRIES else lab.HELD


sys.exit(lab.run_script(Path(__file__).parent, play))

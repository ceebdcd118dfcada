"""One run: a site, its callers, its disturbances, and the verdict."""

import pathlib
import shutil
import time

import eventlet

from soak import callers as callers_module
from soak import plan as plan_module
from soak import promises
from soak import site as site_module

__all__ = ["run"]

_CALLERS = 6
_PROBE_PAUSE = 0.3
# Seconds in which a site that is left alone must serve again.
_RECOVERY = 30.0
_RECOVERY_KINDS = (
    ("POST", "/stream/x"),
    ("GET", "/safe/x"),
    ("POST", "/unsafe/x"),
)


def run(
    seed: int, seconds: float, gateways: int, keep: pathlib.Path | None = None
) -> tuple[list[str], str]:
    """Return what was broken, and a line about the run.

    Args:
        seed: Decides what is disturbed when, and what callers send.
        seconds: How long disturbances go on.
        gateways: Gateway processes.
        keep: Where logs and records go if something was broken.
    """
    with site_module.Site(gateways) as site:
        site.start()
        callers = [
            callers_module.Caller(seed * 1000 + number, site)
            for number in range(_CALLERS)
        ]
        prober = callers_module.Caller(seed, site)
        tasks = [eventlet.spawn(one.run) for one in callers]
        tasks.append(eventlet.spawn(_probe, prober, site))
        broken = _disturb(seed, seconds, site)
        last = callers_module.Caller(seed, site)
        broken += _recover(last, site)
        for one in (*callers, prober):
            one.stopped = True
        for task in tasks:
            task.wait()
        attempts = [one for caller in callers for one in caller.attempts]
        attempts += prober.attempts + last.attempts
        observed = promises.Observed(
            attempts,
            {
                name: site.read_record(name)
                for name in (*site.engines, *site.apps)
            },
            site.history,
            site.acknowledged,
            time.monotonic(),
        )
        broken += promises.check_all(observed)
        broken += _find_failures(site)
        if broken and keep is not None:
            shutil.copytree(site.path, keep / f"seed-{seed}")
            told = "\n".join(str(one) for one in site.history)
            (keep / f"seed-{seed}" / "history.txt").write_text(told)
        served = sum(one.status == 200 and one.whole for one in attempts)
        line = f"{len(attempts)} requests, {served} served"
        return broken, f"{line}, {len(site.history)} events"


def _disturb(seed: int, seconds: float, site: site_module.Site) -> list[str]:
    """Play the plan; return what went wrong with the site itself."""
    upstreams = [*site.engines, *site.apps]
    plan = plan_module.make_plan(seed, seconds, site.gateways, upstreams)
    started = time.monotonic()
    tasks = []
    for one in plan:
        eventlet.sleep(max(0.0, started + one.at - time.monotonic()))
        tasks.append(eventlet.spawn(site.disturb, one))
    broken = []
    for one, task in zip(plan, tasks, strict=True):
        try:
            task.wait()
        except Exception as error:
            broken.append(f"site: {one}: {type(error).__name__}: {error}")
    return broken


def _probe(prober: callers_module.Caller, site: site_module.Site) -> None:
    """Ask each gateway in turn for the newest versions' own routes."""
    while not prober.stopped:
        for name in site.gateways:
            newest = site.newest
            for version in range(max(1, newest - 1), newest + 1):
                if version in site.acknowledged:
                    target = f"/v{version}/x"
                    prober.send("GET", target, site.fronts[name])
        eventlet.sleep(_PROBE_PAUSE)


def _recover(
    caller: callers_module.Caller, site: site_module.Site
) -> list[str]:
    """Return what is not served although nothing disturbs it any more."""
    until = time.monotonic() + _RECOVERY
    missing = [
        (name, *kind) for name in site.gateways for kind in _RECOVERY_KINDS
    ]
    while missing and time.monotonic() < until:
        missing = [
            (name, method, target)
            for name, method, target in missing
            if caller.send(method, target, site.fronts[name]).status != 200
        ]
        eventlet.sleep(_PROBE_PAUSE)
    return [f"recovery: {one} is not served" for one in missing]


def _find_failures(site: site_module.Site) -> list[str]:
    """Return the mistakes that gateways have logged."""
    found = []
    for name in site.gateways:
        for line in site.read_log(name).splitlines():
            marks = ("handler_failed", "task_failed", "Traceback")
            if any(mark in line for mark in marks):
                found.append(f"log of {name}: {line[:300]}")
    return found

"""One run: a site, its callers, its disturbances, and the checks."""

import pathlib
import shutil
import time

import eventlet

from soak import advisories
from soak import callers as callers_module
from soak import plan as plan_module
from soak import promises
from soak import site as site_module

__all__ = ["run"]

_CALLER_COUNT = 6
_PROBE_INTERVAL = 0.3  # seconds
# Seconds from the end of all disturbances in which the site must serve
# each of these again.
_RECOVERY_TIMEOUT = 30.0
_RECOVERY_REQUESTS = (
    ("POST", "/stream/x"),
    ("GET", "/safe/x"),
    ("POST", "/unsafe/x"),
)


def run(
    seed: int, seconds: float, gateways: int, keep: pathlib.Path | None = None
) -> tuple[list[str], str]:
    """Return the violations of promises, and a summary of the run.

    Args:
        seed: Seed of the plan and of what callers send.
        seconds: Time in which disturbances start.
        gateways: Number of gateway processes.
        keep: Folder for logs and records of a run with violations.
    """
    with site_module.Site(gateways) as site:
        site.start()
        callers = [
            callers_module.Caller(seed * 1000 + number, site)
            for number in range(_CALLER_COUNT)
        ]
        prober = callers_module.Caller(seed, site)
        tasks = [eventlet.spawn(caller.run) for caller in callers]
        tasks.append(eventlet.spawn(_probe, prober, site))
        crasher = callers_module.Caller(seed * 1000 + _CALLER_COUNT, site)
        tasks.append(eventlet.spawn(crasher.run_crashing))
        violations = _play_plan(seed, seconds, site)
        last = callers_module.Caller(seed, site)
        violations += _recover(last, site)
        for caller in (*callers, prober, crasher):
            caller.stopped = True
        for task in tasks:
            task.wait()
        attempts = [
            attempt for caller in callers for attempt in caller.attempts
        ]
        attempts += prober.attempts + last.attempts + crasher.attempts
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
        violations += promises.check_all(observed)
        violations += advisories.check_all(observed)
        violations += _find_failures(site)
        if violations and keep is not None:
            shutil.copytree(site.path, keep / f"seed-{seed}")
            lines = "\n".join(str(event) for event in site.history)
            (keep / f"seed-{seed}" / "history.txt").write_text(lines)
        served = sum(
            attempt.status == 200 and attempt.complete for attempt in attempts
        )
        line = f"{len(attempts)} requests, {served} served"
        return violations, f"{line}, {len(site.history)} events"


def _play_plan(seed: int, seconds: float, site: site_module.Site) -> list[str]:
    """Carry out the plan; return the errors of the site itself."""
    upstreams = [*site.engines, *site.apps]
    plan = plan_module.make_plan(seed, seconds, site.gateways, upstreams)
    started = time.monotonic()
    tasks = []
    for planned in plan:
        eventlet.sleep(max(0.0, started + planned.at - time.monotonic()))
        tasks.append(eventlet.spawn(site.disturb, planned))
    violations = []
    for planned, task in zip(plan, tasks, strict=True):
        try:
            task.wait()
        except Exception as error:
            violations.append(
                f"site: {planned}: {type(error).__name__}: {error}"
            )
    return violations


def _probe(prober: callers_module.Caller, site: site_module.Site) -> None:
    """Request the two newest versions' own routes from each gateway."""
    while not prober.stopped:
        for name in site.gateways:
            newest = site.newest
            for version in range(max(1, newest - 1), newest + 1):
                if version in site.acknowledged:
                    target = f"/v{version}/x"
                    prober.send("GET", target, site.fronts[name])
        eventlet.sleep(_PROBE_INTERVAL)


def _recover(
    caller: callers_module.Caller, site: site_module.Site
) -> list[str]:
    """Return what is still not served after the disturbances ended."""
    until = time.monotonic() + _RECOVERY_TIMEOUT
    missing = [
        (name, *kind) for name in site.gateways for kind in _RECOVERY_REQUESTS
    ]
    while missing and time.monotonic() < until:
        missing = [
            (name, method, target)
            for name, method, target in missing
            if caller.send(method, target, site.fronts[name]).status != 200
        ]
        eventlet.sleep(_PROBE_INTERVAL)
    return [f"recovery: {request} is not served" for request in missing]


def _find_failures(site: site_module.Site) -> list[str]:
    """Return the lines of unexpected errors in the logs of gateways."""
    found = []
    for name in site.gateways:
        for line in site.read_log(name).splitlines():
            markers = ("handler_failed", "task_failed", "Traceback")
            if any(marker in line for marker in markers):
                found.append(f"log of {name}: {line[:300]}")
    return found

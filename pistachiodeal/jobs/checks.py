"""Validates jobs that are decoded from rows or requests.

A row or request of another writer may have the right field names and wrong types, a
negative size, or a step that depends on itself. Accepted unchecked, it would raise in
the middle of a scheduling round, and every later leader that reads the same rows would
fail in the same way.
"""

from __future__ import annotations

import math
from dataclasses import fields
from functools import lru_cache
from typing import Any, get_type_hints

from pistachiodeal.jobs.model import Job, Step

MAX_TEXT_BYTES = 4_000
MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_OCCURRENCES = 10_000
# Objectives and sums of work that are computed from estimates near the largest float
# are infinite, and raise when they are converted to integers. The bound is above the
# largest 32-bit float, by which a caller may say that it has no estimate.
MAX_ESTIMATE_S = 1e100
# Messages carry numbers in 64 bits, and accelerators in 32; sums of them fit as well.
MAX_NUMBER = 2**53
MAX_ACCELERATORS = 2**31 - 1
# Each order for a task carries these texts.
MAX_NAME_BYTES = 1_000
SCALAR_TYPES = (int, float, str, bool)


def check_fields(instance: Any) -> None:
    """Check the scalar fields of a data class against their annotations.

    :raises TypeError: a field holds a value of another type, or a number that is not
        finite.
    """
    for name, kind in _list_scalar_fields(instance.__class__):
        value = getattr(instance, name)
        allowed = (int, float) if kind is float else (kind,)
        # Compares exact types: a bool is an instance of int, but not a valid number.
        if type(value) not in allowed:
            raise TypeError(f"{name} is {type(value).__name__}, not {kind.__name__}")
        if kind is float and not math.isfinite(value):
            raise TypeError(f"{name} is not finite")


def check_job(job: Job) -> None:
    """Check a job with its queue and steps.

    :raises TypeError: a field holds a value of another type.
    :raises ValueError: the fields contradict each other, or are out of bounds.
    """
    check_fields(job)
    check_fields(job.queue)
    if len(job.text.encode()) > MAX_TEXT_BYTES:
        raise ValueError(f"the text has more than {MAX_TEXT_BYTES} bytes")
    if not 0 <= job.repeats <= MAX_OCCURRENCES or job.interval_s < 0:
        raise ValueError(
            f"a job has 0 to {MAX_OCCURRENCES} occurrences, and no negative interval"
        )
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise ValueError(f"a job has 1 to {MAX_STEPS} steps")
    for number, step in enumerate(job.steps):
        _check_step(number, step)
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise ValueError(f"the job has more than {MAX_TASKS} tasks")


def _check_step(number: int, step: Step) -> None:
    check_fields(step)
    check_fields(step.size)
    if step.count < 1:
        raise ValueError(f"step {number} has no task")
    sizes = (step.size.cpu_milli, step.size.memory_mib, step.size.accelerators)
    others = (step.estimate_s, step.spread, step.serves_ms, step.may_be_away)
    if min(*sizes, *others) < 0:
        raise ValueError(f"step {number} has a negative value")
    if max(*sizes, *others[1:]) > MAX_NUMBER:
        raise ValueError(f"step {number} has a number over {MAX_NUMBER}")
    if step.size.accelerators > MAX_ACCELERATORS:
        raise ValueError(f"step {number} has more than {MAX_ACCELERATORS} accelerators")
    names = (step.label, step.data_rack, step.image)
    if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
        raise ValueError(f"step {number} has a name of over {MAX_NAME_BYTES} bytes")
    if step.estimate_s > MAX_ESTIMATE_S:
        raise ValueError(f"step {number} has an estimate over {MAX_ESTIMATE_S:.0e} s")
    for earlier in step.after:
        if type(earlier) is not int or not 0 <= earlier < number:
            raise ValueError(
                f"step {number} depends on a step that does not precede it"
            )


@lru_cache(maxsize=32)
def _list_scalar_fields(kind: type) -> tuple[tuple[str, type], ...]:
    hints = get_type_hints(kind)
    return tuple(
        (field.name, hints[field.name])
        for field in fields(kind)
        if hints[field.name] in SCALAR_TYPES
    )

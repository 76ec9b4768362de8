"""Encodes the progress of jobs, and restores records from it."""

from __future__ import annotations

from typing import Any

import orjson

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.jobs.model import Job, JobState
from pistachiodeal.jobs.record import JobRecord, Task
from pistachiodeal.malformed import MALFORMED, describe

# Messages carry the number of a run in 32 bits; half of them are left for new runs.
MAX_COUNT = 2**31


def encode_progress(record: JobRecord, *, checkpoints: bool = True) -> bytes:
    """Return a job's progress.

    :param checkpoints: whether to include checkpoints; without its checkpoint a task
        starts from the beginning under the next leader.
    """
    tasks: dict[str, list[Any]] = {}
    crashes: dict[str, list[int]] = {}
    if not record.state.final:
        for task in record.iterate_tasks():
            if task.crashes:
                crashes[_build_key(task)] = [task.crashes, task.blames]
            if task.run:
                tasks[_build_key(task)] = [
                    task.run,
                    task.place,
                    int(task.done),
                    task.failures,
                    task.checkpoint if checkpoints else "",
                ]
    else:
        # The next leader may still have to stop the runs of a final job.
        for task in record.iterate_tasks():
            if task.place:
                tasks[_build_key(task)] = [task.run, task.place, int(task.done), 0, ""]
    document = {
        "state": record.state.value,
        # Earlier versions wrote whether any task had been placed.
        "begun": record.started,
        "completed": sorted(record.completed),
        "tasks": tasks,
        "crashes": crashes,
    }
    return orjson.dumps(document)


def apply_progress(record: JobRecord, value: bytes, version: int) -> None:
    """Restore a new record from its progress.

    :param version: of the head of its rows.
    :raises ProtocolError: the value is not valid progress.
    """
    try:
        document = orjson.loads(value)
        record.state = record.durable_state = JobState(document["state"])
        record.started = bool(document["begun"])
        for number in document["completed"]:
            _check_occurrence(record.job, number)
            record.completed.add(number)
        record.row_version = version
        for key, fields in document["tasks"].items():
            _apply_task(record, key, fields)
        for key, counts in document.get("crashes", {}).items():
            task = _find_task(record, key)
            task.crashes, task.blames = counts
            _check_counts(task)
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="jobs.decode_progress") from error


def read_state(value: bytes) -> JobState:
    """Return the state in the head of a job's progress rows.

    :raises ProtocolError: the value is not a valid head.
    """
    try:
        return JobState(orjson.loads(value)["state"])
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="jobs.decode_progress") from error


def _build_key(task: Task) -> str:
    name = task.name
    return f"{name.occurrence}.{name.step}.{name.index}"


def _find_task(record: JobRecord, key: str) -> Task:
    occurrence, step, index = (int(part) for part in key.split("."))
    _check_occurrence(record.job, occurrence)
    if min(step, index) < 0:
        raise ValueError("a task key has a negative number")
    if occurrence not in record.occurrences:
        record.open_occurrence(occurrence)
    return record.occurrences[occurrence][step].tasks[index]


def _apply_task(record: JobRecord, key: str, fields: list[Any]) -> None:
    task = _find_task(record, key)
    task.run, task.place, done, task.failures, task.checkpoint = fields
    _check_counts(task)
    task.fully_observed = False
    if done:
        record.find_step(task.name).mark_done(task)
    task.progressed_at = task.placed_at = read_boot_clock()


def _check_counts(task: Task) -> None:
    check_fields(task)
    for count in (task.run, task.failures, task.crashes, task.blames):
        if not 0 <= count <= MAX_COUNT:
            raise ValueError(f"{count} is not a valid count of a task")


def _check_occurrence(job: Job, number: object) -> None:
    # Compares exact types: a bool is an instance of int, but not a valid number.
    if type(number) is not int or not 0 <= number < max(job.repeats, 1):
        raise ValueError(f"the job has no occurrence {number!r}")

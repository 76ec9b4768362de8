"""Validates the reports on queues that entries answer.

Only the command validates them: importing pydantic costs an entry a tenth of a second
of processor time at each start, and 8 MB of memory.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.queue_report import QueueReport

STEP = "queues.decode"


def decode_report(document: Any) -> QueueReport:
    """Return the report in a parsed JSON document.

    :raises ProtocolError: the detail lists all missing and invalid fields.
    """
    try:
        # Strict validation accepts a mapping for a data class only from JSON.
        report = TypeAdapter(QueueReport).validate_json(
            orjson.dumps(document), strict=True
        )
    except ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc']) or 'top'}: {fault['msg']}"
            for fault in error.errors(include_url=False)
        ]
    else:
        faults = list(_find_faults(report))
        if not faults:
            return report
    raise ProtocolError(f"not a report on queues ({'; '.join(faults)})", step=STEP)


def _find_faults(report: QueueReport) -> Iterator[str]:
    """Yield the fields whose values are out of range."""
    if report.epoch < 0:
        yield "epoch: is negative"
    for number, row in enumerate(report.queues):
        if not row.queue:
            yield f"queues.{number}.queue: is empty"
        for name, value in asdict(row).items():
            if isinstance(value, int | float) and value < 0:
                yield f"queues.{number}.{name}: is negative"
    for number, worker in enumerate(report.slow_workers or ()):
        if worker.speed <= 0:
            yield f"slow_workers.{number}.speed: is not positive"

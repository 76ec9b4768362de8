"""Task names, in the form ``job.occurrence.step.index``."""

from __future__ import annotations

from dataclasses import dataclass

# Far more than a name has; int() refuses a text of some thousand digits.
MAX_NAME_LENGTH = 256


@dataclass(frozen=True, slots=True)
class TaskName:
    """The parts of a task's name."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return job, occurrence and number of the task's step."""
        return self.job_id, self.occurrence, self.step

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_name(text: str) -> TaskName | None:
    """Return the parts of a task name, or None if the text is not a task name."""
    parts = text.split(".")
    if len(text) > MAX_NAME_LENGTH or len(parts) != 4:
        return None
    # isdigit() is also true for digits of other scripts, and for a superscript two.
    if not text.isascii() or not all(part.isdigit() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))

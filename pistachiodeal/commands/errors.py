"""Errors that end a command, with their exit statuses."""

from __future__ import annotations

from typing import Any

import orjson

from pistachiodeal import exit_codes
from pistachiodeal.exceptions import Outcome, PistachiodealError
from pistachiodeal.web.messages import WebResponse

EXIT_STATUSES = {
    401: exit_codes.UNAUTHENTICATED,
    403: exit_codes.UNAUTHENTICATED,
    404: exit_codes.NOT_FOUND,
    409: exit_codes.CONFLICT,
    412: exit_codes.CONFLICT,
    428: exit_codes.CONFLICT,
    502: exit_codes.UNREACHABLE,
    503: exit_codes.UNREACHABLE,
    504: exit_codes.UNREACHABLE,
}


class CommandError(PistachiodealError):
    """A command that did not succeed.

    :ivar exit_status: one of :mod:`pistachiodeal.exit_codes`.
    :ivar outcome: what is known of the effect of the requested change.
    """

    code = "command"

    def __init__(
        self,
        detail: str,
        exit_status: int,
        *,
        code: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        step: str = "",
        peer: str = "",
    ) -> None:
        self.code = code or self.code
        super().__init__(detail, step=step, peer=peer)
        self.exit_status = exit_status
        self.outcome = outcome

    def build_document(self) -> dict[str, Any]:
        """Return the error as printed with ``--json``."""
        return {
            "code": self.code,
            "detail": self.detail,
            "outcome": str(self.outcome),
            "step": self.step,
            "peer": self.peer,
            "exit_status": self.exit_status,
        }


class UsageError(CommandError):
    """Invalid arguments; nothing was sent."""

    code = "bad_usage"

    def __init__(self, detail: str) -> None:
        super().__init__(detail, exit_codes.BAD_USAGE, step="command.parse")


def create_answer_error(response: WebResponse, entry: str) -> CommandError:
    """Return the error for an unsuccessful answer."""
    problem = _read_problem(response)
    try:
        outcome = Outcome(str(problem.get("outcome")))
    except ValueError:
        outcome = Outcome.UNKNOWN if response.status >= 500 else Outcome.NOT_RUN
    detail = str(problem.get("detail") or f"HTTP status {response.status}")
    retry_after = response.header("retry-after")
    if retry_after:
        detail = f"{detail} (retry in {retry_after} s)"
    return CommandError(
        detail,
        EXIT_STATUSES.get(response.status, exit_codes.FAILURE),
        code=str(problem.get("code") or f"http_{response.status}"),
        outcome=outcome,
        step=str(problem.get("step") or ""),
        peer=str(problem.get("peer") or "") or entry,
    )


def _read_problem(response: WebResponse) -> dict[str, Any]:
    try:
        document = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}

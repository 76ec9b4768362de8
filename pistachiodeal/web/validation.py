"""What is wrong with a body, told so that its sender can mend it."""

from __future__ import annotations

from pydantic import ValidationError

WHOLE_BODY = "body"


def describe_validation_errors(error: ValidationError) -> str:
    """Return the path and the message of each fault, in one line."""
    return "; ".join(
        f"{'.'.join(map(str, fault['loc'])) or WHOLE_BODY}: {fault['msg']}"
        for fault in error.errors(include_url=False, include_input=False)
    )

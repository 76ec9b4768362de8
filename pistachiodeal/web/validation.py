"""Describes validation errors of a request body, so that its sender can fix them."""

from __future__ import annotations

from pydantic import ValidationError

WHOLE_BODY = "body"


def describe_validation_errors(error: ValidationError) -> str:
    """Return the path and message of each validation error, joined in one line."""
    return "; ".join(
        f"{'.'.join(map(str, detail['loc'])) or WHOLE_BODY}: {detail['msg']}"
        for detail in error.errors(include_url=False, include_input=False)
    )

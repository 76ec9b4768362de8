"""Idempotency keys: a request with a claimed key runs at most once."""

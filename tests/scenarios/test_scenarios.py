"""Binds the failure scenarios in ``features``."""

from pytest_bdd import scenarios

scenarios("features")

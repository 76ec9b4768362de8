"""Binds the scenarios in ``features``, each the story of a failure."""

from pytest_bdd import scenarios

scenarios("features")

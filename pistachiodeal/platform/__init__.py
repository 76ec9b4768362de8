"""Adapters to the users' platform: its names, formats and calls.

They translate between the platform's formats and this project's own types and make no
decisions. No other package depends on the platform's formats.
"""

"""Tests, the stand-ins for the platform, and the harness that starts them."""

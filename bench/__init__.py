"""Benchmarks: scheduling policies against baselines, faults and request cost."""

"""Benchmarks and randomised tests."""

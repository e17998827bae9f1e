"""Benchmarks of the scheduling decisions with seeded traces on simulated engines."""

"""Measurements of the decisions with seeded traces."""

"""Tests of the soak of the programs of the deploy file."""

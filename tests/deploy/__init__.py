"""Tests of the scripts of the deploy file."""

"""Tests of customer quotas."""

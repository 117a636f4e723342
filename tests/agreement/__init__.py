"""Tests of the agreed state under failures, in memory and with processes."""

"""Tests of azurewood.checks."""

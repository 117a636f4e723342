"""Tests of azurewood.commands."""

"""Tests of azurewood.log."""

"""Tests of azurewood.fleet."""

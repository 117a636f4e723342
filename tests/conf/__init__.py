"""Tests of azurewood.conf."""

"""Tests of azurewood.operators."""

"""Callers' side and endpoints' side over HTTP."""

"""HTTP server for callers and HTTP client for endpoints."""

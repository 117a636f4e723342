"""The worker stand-in: hosts that run services' jobs.

It runs on one asyncio loop, unlike everything in azurewood: dozens of hosts
share a machine with the daemons that are measured, so it has to be cheap.
"""

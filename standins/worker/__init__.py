"""Worker stand-in: simulates hosts that run the tasks of services.

Unlike azurewood, it runs on one asyncio loop, because dozens of simulated
hosts share a machine with the daemons that are measured.
"""

"""Fixtures of the days and the machine on the platform in memory."""

from loguru import logger
import pytest


@pytest.fixture(autouse=True)
def no_logs():
    """Write no logs: a day has thousands of lines."""
    logger.disable("azurewood")
    yield
    logger.enable("azurewood")

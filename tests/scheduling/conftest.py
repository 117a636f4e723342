"""Fixtures for the scheduling tests."""

from loguru import logger
import pytest


@pytest.fixture(autouse=True)
def no_logs():
    """Disable logging, since a scenario writes thousands of lines."""
    logger.disable("azurewood")
    yield
    logger.enable("azurewood")

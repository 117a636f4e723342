"""Measure the processor time and the memory of a function."""

import collections.abc
import gc
import statistics
import time
import tracemalloc
import typing

US_PER_S = 1_000_000
REPEATS = 5


def cpu_us(
    function: collections.abc.Callable[[], object],
    *,
    calls: int = 1,
    repeats: int = REPEATS,
) -> float:
    """Return the median CPU time of this thread per call, in µs."""
    return statistics.median(
        _once(function, calls) * US_PER_S for _ in range(repeats)
    )


def _once(function: collections.abc.Callable[[], object], calls: int) -> float:
    started = time.thread_time()
    for _ in range(calls):
        function()
    return (time.thread_time() - started) / calls


def process_us(function: collections.abc.Callable[[], object]) -> float:
    """Return the CPU time of all threads during one call, in µs."""
    started = time.process_time()
    function()
    return (time.process_time() - started) * US_PER_S


def allocated(
    build: collections.abc.Callable[[], typing.Any],
) -> tuple[typing.Any, int]:
    """Return the result of a function and the bytes that it occupies."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        return built, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()

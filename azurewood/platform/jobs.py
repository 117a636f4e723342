"""Decodes jobs that callers submit and encodes answers about jobs."""

import re
import typing

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import catalog
from azurewood.jobs import exceptions
from azurewood.jobs import model

ID: typing.Final = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES: typing.Final = 4000

MAX_NUMBER: typing.Final = decoding.MAX_NUMBER
_Natural = decoding.Natural


class _Step(msgspec.Struct):
    """``cpu`` is in thousandths of a core; ``est_ms`` is a rough estimate.

    A step with ``fill`` runs in the background: it uses only processor time
    that other work leaves. ``target_ms`` is the limit for the tail latency
    of the requests that a long-lived task answers.
    """

    count: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    cpu: _Natural = 0
    mem_mb: _Natural = 0
    gpu: _Natural = 0
    est_ms: _Natural = 0
    after: list[_Natural] = []
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: _Natural = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Natural = 0
    fill: bool = False
    max_unavailable: _Natural = 0


class _Job(msgspec.Struct):
    """``spec`` is passed on to hosts without being interpreted."""

    spec: str
    steps: typing.Annotated[list[_Step], msgspec.Meta(min_length=1)]
    repeat_count: _Natural = 0
    start_ms: _Natural = 0
    interval_ms: _Natural = 0


def decode(
    job_id: str,
    queue: catalog.Queue,
    body: bytes,
    now_ms: int,
    *,
    account: str = "",
) -> model.Job:
    """Return a caller's job; raise ``InvalidJob`` if it is not valid.

    A job of a public queue has no account.
    """
    if not ID.fullmatch(job_id):
        raise exceptions.InvalidJob("an id has 16 hexadecimal digits")
    try:
        found = decoding.decode_json(body, _Job)
    except decoding.MalformedData as exc:
        raise exceptions.InvalidJob(str(exc)) from exc
    if len(found.spec.encode()) > MAX_SPEC_BYTES:
        raise exceptions.InvalidJob(f"more than {MAX_SPEC_BYTES} bytes")
    _check_order(found.steps)
    _check_size(found)
    return model.Job(
        id=job_id,
        queue=queue.name,
        service=queue.service,
        payload=found.spec,
        steps=tuple(_step(step) for step in found.steps),
        schedule=_schedule(found),
        accepted_ms=now_ms,
        priority=queue.priority,
        attempts=queue.attempts,
        objective_factor=queue.objective_factor,
        objective_ms=queue.objective_ms,
        account="" if queue.public else account,
    )


def _check_order(steps: list[_Step]) -> None:
    for number, step in enumerate(steps):
        if any(other >= number for other in step.after):
            raise exceptions.InvalidJob(
                f"step {number} comes after a step that is not earlier"
            )


def _check_size(found: _Job) -> None:
    tasks = sum(step.count for step in found.steps)
    if tasks * max(1, found.repeat_count) > model.MAX_TASKS:
        raise exceptions.InvalidJob(f"more than {model.MAX_TASKS} tasks")


def _schedule(found: _Job) -> model.Schedule | None:
    if not found.repeat_count:
        return None
    return model.Schedule(
        count=found.repeat_count,
        first_ms=found.start_ms,
        interval_ms=found.interval_ms,
    )


def _step(step: _Step) -> model.Step:
    return model.Step(
        count=step.count,
        needs=model.Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=step.est_ms,
        after=tuple(step.after),
        checkpoints=step.checkpoint,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        data_rack=step.data_rack,
        per_host=step.anti_affinity,
        speculative=step.speculative,
        long_lived=step.long_running,
        image=step.image,
        latency_target_ms=step.target_ms,
        background=step.fill,
        may_be_away=step.max_unavailable,
    )


def encode_phase(phase: model.Phase) -> bytes:
    """Return the response body with a job's phase."""
    return msgspec.json.encode({"state": phase.value})


def encode_waiting(count: int) -> bytes:
    """Return the response body with the number of waiting jobs."""
    return msgspec.json.encode({"waiting": count})

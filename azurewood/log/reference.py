"""Generate the metrics reference: ``python -m azurewood.log.reference``."""

from collections import abc
import sys
import typing

from azurewood.log import metrics

HEAD: typing.Final = """\
# Metrics

Printed by `python -m azurewood.log.reference`; not edited by hand.

Daemons send metrics in the statsd protocol over UDP to the address of the
setting `statsd`, and none if it is empty. A datagram that cannot be sent at
once is dropped. Characters of a label other than letters, digits, `-` and
`_` become `_`.

| Name | Kind | Unit | Meaning |
| --- | --- | --- | --- |
"""


def page() -> str:
    """Return the reference page as Markdown."""
    return HEAD + "".join(_rows())


def _rows() -> abc.Iterator[str]:
    for metric in metrics.METRICS:
        kind = type(metric).__name__.lower()
        name = metrics.documented_name(metric)
        yield f"| `{name}` | {kind} | {metric.unit} | {metric.help} |\n"


if __name__ == "__main__":
    sys.stdout.write(page())

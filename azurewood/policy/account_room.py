"""Decides how much more of a resource a client account may use.

The load: for seconds a part of the starts gets no answer, and each of them may
be carried out up to twelve seconds later. Their hosts refuse most of them,
known from answers that came since, and can begin them only after a restart. If
all count in full, an account is at its limit by work that its hosts refuse,
and its other jobs wait beside free hosts. If those that are refused don't
count, and their hosts restart, the account exceeds its limit by all of them.

So they count as long as they leave the account half of its limit: that much it
may use whatever may still begin late.
"""

import typing

NO_LIMIT: typing.Final = 2**62
"""More than any account uses."""


def room(limit: int, used: int, refused: int) -> int:
    """Return how much more an account may use; negative if it is over.

    ``used`` is what it has on all hosts, of which ``refused`` is held by
    starts alone that their hosts are known to refuse. The limit 0 is none.
    """
    if not limit:
        return NO_LIMIT
    return max(limit - used, limit // 2 - (used - refused))


def is_over(limit: int, used: int, refused: int) -> bool:
    """Return whether an account is over its limit, which may be lowered.

    A refused start that is repeated takes its place up again. That adds
    nothing to ``used``, and is no reason to stop it or others.
    """
    return bool(limit) and used - refused > limit

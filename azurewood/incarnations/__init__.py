"""The lives of a host, each an incarnation, and what may still act in them.

A host that restarts, under its id or another, begins a new incarnation. Its
clock, its leases, the numbers of its run ends and the runs that were stopped
or have ended there are those of one incarnation only; see `incarnation` and
`ends`. No call names the incarnation that it is for. A start that got no
answer may be carried out seconds later, in the incarnation that it was sent
to or in one after it, which knows of no stop; see `late_starts`. For how long
that is possible is in `limits`.

The types here are kept by the leader's scheduling, which asks them. They know
of no other host, of no jobs and of no calls.
"""

"""Renewals that are refused for a higher token of the same leader."""

from azurewood.scheduling import hosts
from azurewood.scheduling import messages
from azurewood.scheduling import model


def test_a_renewal_that_a_stop_overtook_makes_no_host_silent():
    state = model.State(term=1, leases_expire_at=0.0)
    host = state.host("h1")
    host.renewals = 3
    host.renewal_fence = 4
    host.fence = 5
    refused = messages.RenewalFailed(
        host=host.id, number=3, reason=messages.Refusal.FENCE
    )
    hosts.renewal_failed(state, refused, 100.0)
    assert host.unresponsive_since is None
    assert host.renew_at == 100.0
    assert not state.effects

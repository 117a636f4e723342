"""A small deployment for tests: one zone, three pools, six hosts."""

from azurewood.fleet import document

TEXT = """
deployment: small
preset: ordinary
zones:
  - {name: volos, region: thessaly}
hosts:
  - {group: crew, zone: volos, racks: [a, b], count: 2, address: 127.1.3.11}
  - {group: desk, zone: volos, racks: [a, b], count: 2, address: 127.1.3.21}
  - {group: archive, zone: volos, racks: [a, b], count: 2,
     address: 127.1.3.31}
pools:
  - {name: crew, groups: [crew]}
  - {name: desk, groups: [desk]}
  - {name: archive, groups: [archive], spare: true}
services:
  - name: crew
    pool: crew
    port: 18401
    routes: [{prefix: /, urgency: urgent}]
  - name: desk
    pool: desk
    port: 18402
    routes: [{prefix: /, urgency: normal, methods: [GET, POST]}]
  - name: archive
    pool: archive
    port: 18403
    routes: [{prefix: /, urgency: deferrable}]
presets:
  - name: ordinary
    moves: {policy: fixed}
  - name: peak
    moves: {policy: fixed}
    maintenance: {allowed: false}
"""


def load():
    """Return the fleet that ``TEXT`` describes."""
    return document.load(TEXT, "small.yaml")

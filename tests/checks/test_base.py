import pytest

from azurewood.checks import base
from azurewood.checks import exceptions


def finding(id, **kwargs):
    return base.Finding(id=id, message="wrong", place="f:1", **kwargs)


def test_only_the_checks_of_a_tag_run():
    registry = base.Registry()

    @registry.register("a")
    def first(subject):
        yield finding(f"first {subject}")
        yield finding(f"again {subject}")

    @registry.register("a")
    def second(subject):
        yield finding(f"second {subject}")

    @registry.register("b")
    def other(subject):
        yield finding(f"other {subject}")

    registry.register("a")(first)
    found = [item.id for item in registry.run("a", 7)]
    assert found == ["first 7", "again 7", "second 7"]


def test_a_tag_without_checks_raises_key_error():
    with pytest.raises(KeyError):
        base.Registry().run("misspelt", None)


def test_findings_are_rendered_together_and_counted():
    warning = finding("azurewood.W1", severity=base.Severity.WARNING)
    error = finding("azurewood.E1", hint="mend it")
    exc = exceptions.InvalidInput([warning, error])
    assert str(exc).splitlines() == [
        "f:1: warning azurewood.W1: wrong",
        "f:1: error azurewood.E1: wrong",
        "    hint: mend it",
        "1 errors, 1 warnings",
    ]
    assert base.errors(exc.findings) == [error]

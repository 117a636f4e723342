import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#\s]+)(#[^)\s]*)?\)")
ANCHOR = re.compile(r"\]\(([^)#\s]*)#([^)\s]+)\)")
PAGES = sorted(
    [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")],
    key=lambda path: str(path),
)
OUTSIDE = ("http://", "https://", "mailto:")


def anchors(path):
    """Return the anchors of a page's headings."""
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("#"):
            title = line.lstrip("#").strip().lower()
            yield re.sub(r"[^\w\- ]", "", title).replace(" ", "-")


def broken(page):
    """Yield the targets of a page's links that do not exist."""
    text = page.read_text(encoding="utf-8")
    for target, _ in LINK.findall(text):
        if target.startswith(OUTSIDE):
            continue
        if not (page.parent / target).exists():
            yield target
    for target, anchor in ANCHOR.findall(text):
        if target.startswith(OUTSIDE):
            continue
        other = page.parent / target if target else page
        if other.suffix == ".md" and anchor not in set(anchors(other)):
            yield f"{target}#{anchor}"


@pytest.mark.parametrize("page", PAGES, ids=lambda p: str(p.relative_to(ROOT)))
def test_every_relative_link_resolves(page):
    assert list(broken(page)) == []


def test_every_page_is_reached_from_the_readme():
    seen, queue = set(), [ROOT / "README.md"]
    while queue:
        page = queue.pop().resolve()
        if page.is_dir():
            seen.update(page.glob("*.md"))
            continue
        if page in seen or page.suffix != ".md" or not page.exists():
            continue
        seen.add(page)
        for target, _ in LINK.findall(page.read_text(encoding="utf-8")):
            if not target.startswith(OUTSIDE):
                queue.append(page.parent / target)
    assert sorted(set(PAGES) - seen) == []


def test_a_broken_link_is_found(tmp_path):
    page = tmp_path / "page.md"
    page.write_text("# One\n[a](none.md) [b](#one) [c](#two) [d](page.md)\n")
    assert list(broken(page)) == ["none.md", "#two"]

"""Builds HTML and SVG as element trees, so that every text is escaped by the library."""

import typing as t
import xml.etree.ElementTree as ElementTree

Element = ElementTree.Element
Value = t.Union[str, int, float]


def add(parent: Element, tag: str, text: str = "", **attributes: Value) -> Element:
    """A new last child of ``parent``.

    :param text: what stands in it.
    :param attributes: by name; ``class_`` stands for ``class`` and ``_`` for a hyphen.
    """
    child = ElementTree.SubElement(parent, tag, _named(attributes))
    child.text = text
    return child


def new(tag: str, **attributes: Value) -> Element:
    """An element without a parent; see :func:`add`."""
    return ElementTree.Element(tag, _named(attributes))


def render(root: Element) -> str:
    """A whole HTML document."""
    body: str = ElementTree.tostring(root, encoding="unicode", method="html")
    return f"<!DOCTYPE html>\n{body}\n"


def _named(attributes: t.Mapping[str, Value]) -> t.Dict[str, str]:
    named = {}
    for name, value in attributes.items():
        text = f"{value:.2f}".rstrip("0").rstrip(".") if isinstance(value, float) else str(value)
        named[name.rstrip("_").replace("_", "-")] = text
    return named

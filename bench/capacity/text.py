"""Formats numbers and tables as Markdown."""

from __future__ import annotations

Table = list[list[str]]


def number(value: float, digits: int = 3) -> str:
    """Formats a number with ``digits`` significant figures and without an exponent; large numbers keep all digits."""
    if value == 0:
        return "0"
    size = abs(value)
    if size >= 10 ** (digits - 1):
        return f"{value:,.0f}"
    text = f"{value:.{digits}g}"
    return f"{float(text):.10f}".rstrip("0").rstrip(".") if "e" in text else text


def with_error(value: float, error: float) -> str:
    return f"{number(value)} ± {number(error, 2)}"


def markdown(table: Table) -> str:
    head, *body = table
    lines = [head, ["---"] * len(head), *body]
    return "\n".join("| " + " | ".join(row) + " |" for row in lines)

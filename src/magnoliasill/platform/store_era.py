"""The era of the store's data, which rises when the store comes back from an older copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import attrs

from ..mesh.positions import MAX_ERA

ERA_HEADER = "Store-Era"  # in each of its responses
MAX_DIGITS = 20
MAX_LOGGED = 40  # characters of a header that is no era

ReportRise: TypeAlias = Callable[[int, int], None]
ReportOddEra: TypeAlias = Callable[[str], None]


def _ignore_rise(before: int, after: int) -> None:
    """Stand in for a report of a rise that nobody wants."""


def _ignore_odd_era(reason: str) -> None:
    """Stand in for a report of an odd header that nobody wants."""


@attrs.define
class EraTracker:
    """The highest era that any response or another VM told of.

    Attributes:
        known: The era, 0 before the first.
        has_data: Whether data of the store was received, so that a higher era replaces it.
        has_reported: Whether an odd header was reported; the others are not.
        report_rise: Called with the era before and after a rise.
        report_odd_era: Called with the reason why a header is not used, once.
    """

    known: int = 0
    has_data: bool = False
    has_reported: bool = False
    report_rise: ReportRise = _ignore_rise
    report_odd_era: ReportOddEra = _ignore_odd_era

    def observe(self, header: str | None, era_at_request: int) -> bool:
        """Take the era from a response; one without a usable header counts as of the known era.

        Args:
            header: The header's value, or None.
            era_at_request: The era that was known when the request was sent.

        Returns:
            False if the response is of an earlier era, and was sent before the present one was
            known.
        """
        era = self._decode(header)
        if era is not None and era < self.known:
            if era_at_request < self.known:
                return False
            self._report(f"the era fell from {self.known} to {era}")
        elif era is not None:
            self.raise_to(era)
        self.has_data = True
        return True

    def raise_to(self, era: int) -> None:
        """Adopt an era if it is higher than the known one."""
        if era <= self.known:
            return
        before, self.known = self.known, era
        if self.has_data:
            self.report_rise(before, era)

    def _decode(self, header: str | None) -> int | None:
        if header is None:
            if self.known:
                self._report("a response tells no era")
            return None
        if not (header.isascii() and header.isdecimal() and len(header) <= MAX_DIGITS):
            self._report(f"the era is {header[:MAX_LOGGED]!r}")
            return None
        return int(header) % (MAX_ERA + 1)  # a count that begins high still rises by one

    def _report(self, reason: str) -> None:
        if not self.has_reported:
            self.has_reported = True
            self.report_odd_era(reason)

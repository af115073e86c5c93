"""The table of an ablation: what leaving a mechanism out changes."""

from dataclasses import dataclass

import numpy
from scipy import stats

from plan import NOTHING

# Of the interval around a mean difference.
CONFIDENCE = 0.95
RESAMPLES = 2000


@dataclass(frozen=True)
class Row:
    """One mechanism on one site, over all days and seeds that were played."""

    without: str
    site: str
    pairs: int
    difference: float  # mean worth without it, less that with nothing left out
    low: float  # of the interval; equal to `high` for a single pair
    high: float
    broken: tuple  # rules broken without it, and not with nothing left out


def interval(differences):
    """A bootstrap interval around the mean; seeded, so that it repeats."""
    values = numpy.asarray(differences, dtype=float)
    if len(values) < 2 or numpy.ptp(values) == 0:
        mean = float(values.mean())
        return mean, mean
    found = stats.bootstrap(
        (values,),
        numpy.mean,
        confidence_level=CONFIDENCE,
        n_resamples=RESAMPLES,
        method="percentile",
        random_state=numpy.random.default_rng(1),
    )
    return float(found.confidence_interval.low), float(
        found.confidence_interval.high
    )


def rows_of(results):
    """Pairs plays with those of the same day and seed with nothing left out."""
    usable = {each.play: each for each in results if not each.failed}
    whole = {
        (play.site, play.day, play.seed): each
        for play, each in usable.items()
        if play.without == NOTHING
    }
    pairs = {}
    for play, each in usable.items():
        beside = whole.get((play.site, play.day, play.seed))
        if play.without != NOTHING and beside is not None:
            pairs.setdefault((play.without, play.site), []).append((beside, each))
    made = []
    for (without, site), held in sorted(pairs.items()):
        differences = [off.worth - on.worth for on, off in held]
        low, high = interval(differences)
        broken = {
            rule for on, off in held for rule in off.broken if rule not in on.broken
        }
        made.append(
            Row(
                without,
                site,
                len(held),
                sum(differences) / len(differences),
                low,
                high,
                tuple(sorted(broken)),
            )
        )
    return made


def table_of(rows):
    """The rows as a table in Markdown."""
    lines = [
        "| left out | site | plays | difference | 95% | rules broken |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for each in rows:
        lines.append(
            f"| {each.without} | {each.site} | {each.pairs} "
            f"| {each.difference:+.3f} | {each.low:+.3f} to {each.high:+.3f} "
            f"| {', '.join(each.broken) or 'none'} |"
        )
    return "\n".join(lines)

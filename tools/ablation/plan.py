"""Which plays an ablation consists of, and in which order.

A plan is a JSON file:

    {"sites": [{"site": "further/retourne-prod", "days": ["trouble-1"],
                "seeds": [0, 7]}],
     "without": ["relays", "lapses"]}

Plays that are compared come together, and all of the first seed before those
of the second, so that what is there after an interruption can be compared.
"""

import json
from dataclasses import dataclass

NOTHING = "nothing"


class PlanError(Exception):
    """The plan's file can not be used; the text says where and why."""


@dataclass(frozen=True)
class Play:
    """One day of a site with one mechanism left out, or with nothing."""

    site: str
    day: str
    seed: int
    without: str


def _texts(holder, key, where):
    value = holder.get(key)
    if not isinstance(value, list) or not value:
        raise PlanError(f"{where}{key}: expected a list that is not empty")
    if not all(isinstance(each, str) for each in value):
        raise PlanError(f"{where}{key}: expected strings")
    return value


def _seeds(holder, where):
    value = holder.get("seeds")
    usable = isinstance(value, list) and value
    if not usable or not all(type(each) is int for each in value):
        raise PlanError(f"{where}seeds: expected whole numbers")
    return value


def _check_keys(holder, known, where):
    if not isinstance(holder, dict):
        raise PlanError(f"{where}: expected an object")
    for key in holder:
        if key not in known:
            raise PlanError(f"{where}{key}: unknown key")


def read_plan(text):
    """All plays of a plan, in order. Raises PlanError."""
    try:
        plan = json.loads(text)
    except json.JSONDecodeError as error:
        raise PlanError(f"not valid JSON: {error}") from error
    _check_keys(plan, {"sites", "without"}, "")
    mechanisms = [NOTHING, *_texts(plan, "without", "")]
    sites = plan.get("sites")
    if not isinstance(sites, list) or not sites:
        raise PlanError("sites: expected a list that is not empty")
    rounds = []
    for number, each in enumerate(sites):
        where = f"sites/{number}/"
        _check_keys(each, {"site", "days", "seeds"}, where)
        if not isinstance(each.get("site"), str):
            raise PlanError(f"{where}site: expected a string")
        for turn, seed in enumerate(_seeds(each, where)):
            for day in _texts(each, "days", where):
                rounds.append((turn, each["site"], day, seed))
    rounds.sort(key=lambda each: each[0])
    return [
        Play(site, day, seed, without)
        for _, site, day, seed in rounds
        for without in mechanisms
    ]


def plays_left(plays, results):
    """The plays that have no result yet."""
    done = {each.play for each in results}
    return [each for each in plays if each not in done]

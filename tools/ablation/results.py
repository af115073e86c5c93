"""Results of plays: one JSON object a line, in a file that only grows."""

import json
from dataclasses import asdict, dataclass

from plan import Play


@dataclass(frozen=True)
class Result:
    """What a play gave; `failed` is empty unless it came to no end."""

    play: Play
    worth: float
    broken: tuple  # names of the rules that were broken, and faults
    revision: str  # of the tree that was played
    failed: str = ""


def result_of_report(play, report, revision):
    """Reads the report that the users' bench writes of one day."""
    broken = sorted(report.get("breaks") or {})
    if report.get("fault"):
        broken.append(f"fault: {report['fault']}")
    return Result(play, float(report["G"]), tuple(broken), revision)


def line_of(result):
    return json.dumps(
        {
            **asdict(result.play),
            "worth": result.worth,
            "broken": list(result.broken),
            "revision": result.revision,
            "failed": result.failed,
        }
    )


def read_lines(lines):
    """All whole results; a last line that was cut short is passed over."""
    made = []
    for line in lines:
        try:
            held = json.loads(line)
            play = Play(held["site"], held["day"], held["seed"], held["without"])
            made.append(
                Result(
                    play,
                    float(held["worth"]),
                    tuple(held["broken"]),
                    held["revision"],
                    held["failed"],
                )
            )
        except (json.JSONDecodeError, KeyError, TypeError):
            continue
    return made

"""What each mechanism is worth: plays a plan's days on the users' bench, with
single mechanisms left out beside the same days with nothing left out.

Goes on where an earlier call stopped: plays that have a line in the file of
results are not played again. `--table` only prints the table.

Example:
    tools/ablate examples/ablation.json --results results.jsonl --kit FOLDER
    tools/ablate --table --results results.jsonl
"""

import argparse
import pathlib
import queue
import subprocess
import sys
import tempfile
import threading

from plan import PlanError, plays_left, read_plan
from results import Result, line_of, read_lines, result_of_report
from scratch import Copy, ScratchError, build

BENCH = "more/bench-93cd67/bin/fleetbench"


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("plan", nargs="?", help="JSON file of sites and mechanisms")
    parser.add_argument("--results", required=True, help="file of results, grows")
    parser.add_argument("--jobs", type=int, default=2, help="plays at once")
    parser.add_argument("--most", type=int, help="plays at the most in this call")
    parser.add_argument("--kit", default=".", help="folder of the users' sites")
    parser.add_argument("--scratch", help="folder for copies; a new one if absent")
    parser.add_argument("--table", action="store_true", help="print the table only")
    return parser.parse_args()


def stored_results(path):
    return read_lines(path.read_text().splitlines()) if path.exists() else []


class Plays:
    """Plays what waits, each worker in a copy of its own."""

    def __init__(self, waiting, kit, results, revision):
        self.waiting = queue.SimpleQueue()
        for each in waiting:
            self.waiting.put(each)
        self.kit = kit
        self.results = results
        self.revision = revision
        self.writing = threading.Lock()

    def work(self, copy):
        while True:
            try:
                play = self.waiting.get_nowait()
            except queue.Empty:
                return
            self.note(self.result_of(copy, play))

    def result_of(self, copy, play):
        report = copy.folder.parent / f"{copy.folder.name}.report.json"
        try:
            held = copy.play(self.kit / BENCH, self.kit, play, report)
            return result_of_report(play, held, self.revision)
        except (ScratchError, KeyError, ValueError) as error:
            return Result(play, 0, (), self.revision, str(error)[-300:])

    def note(self, result):
        with self.writing, self.results.open("a") as file:
            file.write(line_of(result) + "\n")


def play_all(options, kit, results):
    root = pathlib.Path.cwd()
    plays = read_plan(pathlib.Path(options.plan).read_text())
    waiting = plays_left(plays, stored_results(results))[: options.most]
    if not waiting:
        return
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], check=True, capture_output=True,
        text=True,
    ).stdout.strip()
    scratch = pathlib.Path(options.scratch or tempfile.mkdtemp(prefix="ablate-"))
    scratch.mkdir(parents=True, exist_ok=True)
    print(f"ablate: {len(waiting)} plays, copies in {scratch}", flush=True)
    built = build(root, scratch / "built")
    work = Plays(waiting, kit, results, revision)
    workers = [
        threading.Thread(target=work.work, args=(Copy(built, scratch / f"copy-{i}"),))
        for i in range(options.jobs)
    ]
    for each in workers:
        each.start()
    for each in workers:
        each.join()


def main():
    options = parse_arguments()
    results = pathlib.Path(options.results)
    kit = pathlib.Path(options.kit).resolve()
    if not options.table:
        if not (kit / BENCH).exists():
            print("ablate: the users' bench is not here; nothing was played")
            return 1
        if options.plan is None:
            print("ablate: name a plan, or --table")
            return 2
        try:
            play_all(options, kit, results)
        except (PlanError, ScratchError) as error:
            print(f"ablate: {error}")
            return 2
    # The statistics need a library that playing does not.
    from table import rows_of, table_of

    held = stored_results(results)
    print(table_of(rows_of(held)))
    failed = sum(1 for each in held if each.failed)
    print(f"ablate: {len(held)} plays, {failed} of them came to no end")
    return 0


if __name__ == "__main__":
    sys.exit(main())

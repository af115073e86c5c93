"""The ablation's own parsing and statistics, without the users' bench."""

import pathlib
import sys
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "tools/ablation")
)

from plan import NOTHING, Play, PlanError, plays_left, read_plan  # noqa: E402
from results import Result, line_of, read_lines, result_of_report  # noqa: E402
from scratch import ScratchError, with_trial  # noqa: E402
from table import interval, rows_of, table_of  # noqa: E402

PLAN = """{"sites": [
  {"site": "a", "days": ["x", "y"], "seeds": [0, 7]},
  {"site": "b", "days": ["z"], "seeds": [3]}],
 "without": ["relays"]}"""


def result(without, worth, day="x", seed=0, broken=(), failed=""):
    return Result(Play("a", day, seed, without), worth, broken, "r", failed)


class PlanTest(unittest.TestCase):
    def test_plays_that_are_compared_come_together(self):
        plays = read_plan(PLAN)
        self.assertEqual(Play("a", "x", 0, NOTHING), plays[0])
        self.assertEqual(Play("a", "x", 0, "relays"), plays[1])

    def test_first_seeds_of_all_sites_come_before_second_ones(self):
        plays = read_plan(PLAN)
        self.assertEqual([0, 0, 0, 0, 3, 3, 7, 7, 7, 7], [p.seed for p in plays])

    def test_faults_name_their_place(self):
        for text, place in (
            ("{", "not valid JSON"),
            ('{"other": 1}', "other: unknown key"),
            ('{"without": []}', "without: expected"),
            ('{"without": ["a"], "sites": [{"site": 1}]}', "sites/0/site"),
            ('{"without": ["a"], "sites": [{"site": "a", "seeds": ["1"]}]}',
             "sites/0/seeds"),
        ):
            with self.subTest(text), self.assertRaisesRegex(PlanError, place):
                read_plan(text)

    def test_plays_with_a_result_are_left_out(self):
        plays = read_plan(PLAN)
        left = plays_left(plays, [Result(plays[0], 0.9, (), "r")])
        self.assertEqual(plays[1:], left)


class ResultsTest(unittest.TestCase):
    def test_lines_come_back_as_they_were(self):
        made = result("relays", 0.75, broken=("LOST",))
        self.assertEqual([made], read_lines([line_of(made)]))

    def test_line_cut_short_is_passed_over(self):
        whole = line_of(result("relays", 0.75))
        self.assertEqual(1, len(read_lines([whole, whole[:20]])))

    def test_report_gives_worth_rules_and_faults(self):
        report = {"G": 0.8, "breaks": {"TWICE": 1}, "fault": "gone"}
        made = result_of_report(Play("a", "x", 0, NOTHING), report, "r")
        self.assertEqual(0.8, made.worth)
        self.assertEqual(("TWICE", "fault: gone"), made.broken)


class TemplateTest(unittest.TestCase):
    def test_mechanism_is_left_out_at_the_end(self):
        made = with_trial('{\n  "a": 1\n}\n', "relays")
        self.assertEqual(
            '{\n  "a": 1,\n  "trial": {"without": ["relays"]}\n}\n', made
        )

    def test_nothing_leaves_the_template_as_it_is(self):
        self.assertEqual("{}", with_trial("{}", NOTHING))

    def test_template_of_another_shape_is_refused(self):
        with self.assertRaises(ScratchError):
            with_trial("[1, 2]", "relays")


class TableTest(unittest.TestCase):
    def test_difference_is_of_pairs(self):
        rows = rows_of(
            [
                result(NOTHING, 0.9),
                result("relays", 0.8),
                result(NOTHING, 0.5, day="y"),
                result("relays", 0.6, day="y"),
                result("relays", 0.1, day="unpaired"),
            ]
        )
        self.assertEqual(1, len(rows))
        self.assertEqual(2, rows[0].pairs)
        self.assertAlmostEqual(0.0, rows[0].difference)
        self.assertLessEqual(rows[0].low, -0.05)
        self.assertGreaterEqual(rows[0].high, 0.05)

    def test_plays_without_an_end_do_not_count(self):
        rows = rows_of([result(NOTHING, 0.9), result("relays", 0, failed="why")])
        self.assertEqual([], rows)

    def test_rules_broken_in_any_case_are_not_the_mechanisms(self):
        rows = rows_of(
            [
                result(NOTHING, 0.9, broken=("LOST",)),
                result("relays", 0.8, broken=("LOST", "TWICE")),
            ]
        )
        self.assertEqual(("TWICE",), rows[0].broken)

    def test_interval_holds_the_mean_and_repeats(self):
        values = [0.01, 0.02, -0.01, 0.03, 0.0]
        low, high = interval(values)
        self.assertTrue(low <= sum(values) / len(values) <= high)
        self.assertEqual((low, high), interval(values))

    def test_interval_of_one_pair_is_its_difference(self):
        self.assertEqual((0.25, 0.25), interval([0.25]))

    def test_table_has_a_line_a_row(self):
        rows = rows_of([result(NOTHING, 0.9), result("relays", 0.8)])
        self.assertIn("| relays | a | 1 | -0.100 |", table_of(rows))


if __name__ == "__main__":
    unittest.main()

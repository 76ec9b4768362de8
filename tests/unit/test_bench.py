"""The bench gives the same figures for the same seed."""

from dataclasses import replace

from bench.policies import POLICIES
from bench.report import build_rows, check_aims
from bench.shapes import LISOVNA, STEPS
from bench.simulation import Case, run_case

SHORT = replace(LISOVNA, workers=4, services=(replace(LISOVNA.services[0], rate=50.0),))


def run(policy):
    return run_case(Case(policy, SHORT, STEPS, 1, 20.0))


def test_one_seed_gives_one_result():
    for policy in POLICIES[1:3]:
        assert run(policy) == run(policy)


def test_the_report_has_a_row_for_each_policy():
    rows = build_rows([run(policy) for policy in POLICIES])
    table = {row.policy: row for row in rows}
    assert list(table) == [policy.name for policy in POLICIES]
    assert table["no-batch"].tail == 1.0 and table["oracle"].throughput == 1.0
    assert table["oracle"].tail < table["no-guard"].tail
    assert len(check_aims(rows)) == 4

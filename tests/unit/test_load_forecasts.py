"""Forecasts of serving load, and filling tasks that are placed and moved by them."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest

from pistachiodeal.config.deployment import NO_FEATURES, FeatureSettings
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.model import Step
from pistachiodeal.leader.commits import CONTROL_TABLE, FencedWriter, LeaderTerm
from pistachiodeal.leader.filling_work import create_filling_work
from pistachiodeal.leader.held_back import REFUTED_AFTER_S, create_mover
from pistachiodeal.leader.learned_periods import decode_periods
from pistachiodeal.leader.learned_state import (
    LEARNED_STATE_KEY,
    LearnedState,
    LearnedStatePersister,
    encode_learned_state,
)
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.durations import DurationModel
from pistachiodeal.scheduling.expected_progress import (
    CELL_STARTS,
    MAX_AT_ONCE,
    NOTHING,
    Progress,
    ProgressModel,
)
from pistachiodeal.scheduling.filling_cost import Outlook
from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.scheduling.load_forecast import (
    GRID_S,
    MAX_AGE_S,
    MAX_BINS,
    MAX_STEPS,
    PeriodEstimate,
    SlackForecast,
    SlackForecaster,
)
from pistachiodeal.scheduling.pacing import REQUIRED_SLACK
from pistachiodeal.scheduling.placement import PlacementRequest, choose_worker
from pistachiodeal.scheduling.views import WorkerView
from pistachiodeal.store.row_store import RowWrite, Transaction
from tests.standins.filling_replay import FillingReplay
from tests.standins.job_cluster import build_job, create_quiet_log
from tests.standins.rows import MemoryRows, RowsState

PERIOD_S = 14.0
ROOM = Resources(64_000, 64_000, 0)
KEY = ("job", 0, 0)
FILLING = Step(1, Resources(2_000, 1_000, 0), 4.0, image="f", fills=True)
SERVING = Step(1, Resources(9_000, 1_000, 0), 1.0, image="s", serves_ms=50)
TROUGH, PEAK = ("trough", 0, 0), ("peak", 0, 0)


def compute_slack(at: float, phase: float = 0.0) -> float:
    """Return the slack of a step whose load varies by half around 0.45."""
    angle = 2 * math.pi * (at / PERIOD_S + phase)
    return (1 - 0.45 * (1 + 0.5 * math.sin(angle))) / 0.35


def observe(forecaster: SlackForecaster, since: float, until: float) -> None:
    """Report two steps of one image in opposite phases, with 8% of noise."""
    rng = random.Random(1)
    at = since
    while at < until:
        at += 0.13
        for step, phase in ((TROUGH, 0.5), (PEAK, 0.0)):
            slack = compute_slack(at, phase) * rng.uniform(0.92, 1.08)
            forecaster.observe(step, "s", slack, at)


def build_view(node: str, step: tuple[str, int, int] | None, fillings=0) -> WorkerView:
    view = WorkerView(f"{node}/w", node, "r1", frozenset(), ROOM)
    if step is not None:
        view.reserve(step, SERVING)
    for _ in range(fillings):
        view.reserve(KEY, FILLING)
    return view


@pytest.fixture(name="model")
def build_model() -> InterferenceModel:
    model = InterferenceModel()
    model.adopt([PairEstimate("f", "s", 0.5, 0.04)])
    return model


@pytest.fixture(name="filling")
def build_filling(model):
    """Return expectations that have observed the load for 42 s, until its mean."""
    work = create_filling_work(
        FeatureSettings(load_forecasts=True), model, create_quiet_log()
    )
    observe(work.forecaster, 100.0, 140.0)
    return work


def test_the_forecast_follows_the_load_of_each_step(filling):
    """Guards against a forecast that repeats the present or another step's phase."""
    (period,) = filling.forecaster.list_periods(9)
    assert period.period_s == pytest.approx(PERIOD_S, rel=0.05)
    for step, phase in ((TROUGH, 0.5), (PEAK, 0.0)):
        forecast = filling.forecaster.forecast(step, "s", 140.0, 10.0)
        for number, slack in enumerate(forecast.slack):
            expected = compute_slack(140.0 + number * GRID_S, phase)
            assert slack == pytest.approx(expected, abs=0.15)


def test_noise_and_a_ramp_have_no_period():
    """Guards against tasks that wait for a recovery which never comes."""
    rng = random.Random(2)
    forecaster = SlackForecaster()
    for number in range(250):
        at = 100.0 + number * 0.2
        forecaster.observe(TROUGH, "noise", 2.0 * rng.uniform(0.9, 1.1), at)
        forecaster.observe(PEAK, "ramp", 1.0 + number / 100 if at < 117 else 1.9, at)
        assert not forecaster.list_periods(9)
    forecaster.observe(TROUGH, "noise", 4.0, at + 1.0)
    slack = forecaster.forecast(TROUGH, "noise", at + 1.0, 10.0).slack
    assert slack[0] > 2.5
    assert slack[-1] == pytest.approx(2.0, abs=0.1)


def test_a_step_without_reports_counts_with_its_mean(filling):
    forecast = filling.forecaster.forecast(PEAK, "s", 140.2 + MAX_AGE_S, 2.0)
    assert not forecast.current
    assert forecast.slack[0] == pytest.approx(0.55 / 0.35, abs=0.1)
    view = build_view("n", PEAK)
    outlook = filling.build_task_outlook(4.0, 140.2 + MAX_AGE_S)
    assert outlook.find_progress(FILLING, view) is None


def test_a_new_leader_uses_the_period_once_it_has_seen_the_phase(filling):
    """Guards against a successor that forecasts a wave of which it saw a second."""
    successor = SlackForecaster()
    successor.adopt(filling.forecaster.list_periods(9))
    observe(successor, 100.0, 102.0)
    slack = successor.forecast(PEAK, "s", 102.0, 5.0).slack
    assert len(set(slack)) == 1
    observe(successor, 102.0, 110.0)
    slack = successor.forecast(PEAK, "s", 110.0, 5.0).slack
    assert slack[8] == pytest.approx(compute_slack(114.0), abs=0.4)


def test_the_forecaster_has_bounded_memory():
    forecaster = SlackForecaster()
    for number in range(MAX_STEPS + 50):
        forecaster.observe((f"j{number}", 0, 0), "s", 2.0, 100.0 + number / 100)
    for number in range(600):
        forecaster.observe(TROUGH, "s", 2.0, 3_000.0 + number / 4)
    assert len(forecaster._steps) == MAX_STEPS
    assert len(forecaster._steps[TROUGH].bins) <= MAX_BINS


def test_a_task_starts_where_it_ends_first_even_at_partial_pace(filling, model):
    """Load: one worker has spare slack now and none soon, the other the reverse."""
    now = 142.0
    observe(filling.forecaster, 140.0, now)
    views = [build_view("rising", TROUGH), build_view("falling", PEAK)]
    ends = {}
    for view in views:
        outlook = Outlook(filling.build_task_outlook(6.0, now).model, 6.0, now)
        ends[view.node] = outlook.compute_end_s(FILLING, view)
    progress = outlook.model.expect_start(
        views[0].serving_steps, views[0].filling, FILLING.image, now
    )
    assert 0.7 < progress.compute_work_s(now, 1.0) < 1.0
    request = PlacementRequest(FILLING, KEY, outlook=outlook)
    assert choose_worker(request, views, model).node == min(ends, key=ends.get)
    assert choose_worker(request, [build_view("idle", None), *views], model).node == (
        "idle"
    )


def test_a_task_waits_where_it_would_only_share_the_pace_of_others(filling, model):
    """Guards against tasks that delay others and end no earlier than after them."""
    outlook = filling.build_task_outlook(4.0, 140.0)
    request = PlacementRequest(FILLING, KEY, outlook=outlook)
    assert choose_worker(request, [build_view("n", PEAK, fillings=4)], model) is None
    assert choose_worker(request, [build_view("n", None, fillings=4)], model)


@pytest.mark.parametrize(("pace", "worth"), [(0.3, False), (0.6, False), (0.8, True)])
def test_a_task_waits_where_it_would_start_at_a_low_pace(pace, worth):
    """Guards against starts that use up the slack of serving tasks and end late."""
    progress = Progress(140.0, [pace * start for start in CELL_STARTS], NOTHING)
    model = SimpleNamespace(expect_start=lambda *_: progress)
    outlook = Outlook(model, 4.0, 140.0)
    assert outlook.is_worth_starting(FILLING, build_view("n", PEAK)) is worth


def test_slack_within_the_error_of_measured_tails_gives_no_full_pace(model):
    """Guards against expecting more than the agents allow by the lowest figure."""
    paces = []
    for excess in (0.1, 0.6):
        slack = SlackForecast((REQUIRED_SLACK + 0.5 + excess,) * 99, (), True, True)
        forecaster = SimpleNamespace(forecast=lambda *_, slack=slack: slack)
        progress = ProgressModel(forecaster, model).expect_start(
            {PEAK: "s"}, {}, "f", 140.0
        )
        paces.append(progress.compute_work_s(140.0, 1.0))
    assert 0.5 <= paces[0] < 0.9
    assert paces[1] == pytest.approx(1.0)


def test_a_round_on_a_large_fleet_computes_a_bounded_number_of_forecasts(
    filling, monkeypatch
):
    """Guards against rounds of 50 ms at 600 workers; one result takes 75 us."""
    computed = []
    compute = ProgressModel._compute_start
    monkeypatch.setattr(
        ProgressModel,
        "_compute_start",
        lambda self, *key: computed.append(key) or compute(self, *key),
    )
    outlook = filling.build_task_outlook(4.0, 140.0)
    for number in range(600):
        view = build_view("n", PEAK)
        view.filling = {f"f{number}": 1.0}
        outlook.compute_cost(FILLING, view)
    assert 0 < len(computed) <= MAX_AT_ONCE


class HeldBackCase:
    """Tasks held back on worker ``a`` beside ``PEAK``, and another worker ``b``."""

    def __init__(
        self, filling, model, now: float, *, elsewhere=TROUGH, tasks: int = 1
    ) -> None:
        self.now = now
        registry = JobRegistry(create_quiet_log())
        job = build_job(1, count=tasks, steps=1)
        self.step = replace(job.steps[0], fills=True, image="f", estimate_s=3.0)
        registry.add(replace(job, steps=(self.step,)), 0.0)
        self.tasks = list(registry.records[job.job_id].iterate_tasks())
        self.mover = create_mover(filling, registry, model, 1.25)
        self.worker = Fleet().get("a")
        self.worker.service = "svc"
        views = [build_view("a", PEAK, fillings=1)]
        views += [build_view(f"b{number}", elsewhere) for number in range(tasks)]
        self.mover.set_views({"svc": views})

    def choose(self, restartable=(), running=20) -> list[str]:
        held_back = [(self.worker, task) for task in self.tasks]
        moves = self.mover.choose(held_back, set(restartable), running, self.now)
        return [str(move.task.name) for move in moves]


def test_a_run_that_stays_without_pace_is_moved(filling, model):
    """Guards against waiting for seven seconds beside a load that has just risen."""
    observe(filling.forecaster, 140.0, 142.0)
    assert HeldBackCase(filling, model, 142.0).choose()
    assert not HeldBackCase(filling, model, 142.0, elsewhere=PEAK).choose()


def test_a_run_whose_pace_is_about_to_return_is_not_stopped(filling, model):
    """Guards against moves that take longer than the neighbours' peak."""
    observe(filling.forecaster, 140.0, 146.0)
    assert not HeldBackCase(filling, model, 146.0).choose(["0000000000000001.0.0.0"])


def test_a_run_without_checkpoints_pays_for_the_work_that_it_loses(filling, model):
    observe(filling.forecaster, 140.0, 143.0)
    case = HeldBackCase(filling, model, 143.0)
    case.tasks[0].percent = 95
    assert not case.choose()
    case.tasks[0].step = replace(case.step, checkpoints=True)
    assert case.choose()


def test_a_refuted_forecast_lets_the_usual_rule_decide(filling, model):
    """Guards against a run that waits for ever beside a task unlike its siblings."""
    observe(filling.forecaster, 140.0, 147.5)
    case = HeldBackCase(filling, model, 147.5)
    name = str(case.tasks[0].name)
    assert not case.choose([name])
    case.now += REFUTED_AFTER_S
    observe(filling.forecaster, 147.5, case.now)
    assert case.choose([name]) == [name]


def test_few_runs_move_at_a_time_and_none_twice_within_seconds(filling, model):
    """Guards against moving the whole fleet when all loads rise at once."""
    observe(filling.forecaster, 140.0, 141.5)
    case = HeldBackCase(filling, model, 141.5, tasks=8)
    first = case.choose(running=40)
    assert len(first) == 2
    case.now += 0.5
    second = case.choose(running=40)
    assert len(second) == 1
    assert not set(first) & set(second)


def test_periods_are_in_the_learned_state_only_with_the_feature():
    state = LearnedState([], {}, periods=[PeriodEstimate("s", 14.2, 0.97)])
    assert decode_periods(encode_learned_state(state)) == state.periods
    without = encode_learned_state(LearnedState([], {}))
    assert without == b'{"pairs":[],"durations":{}}'
    assert decode_periods(without) == []
    for value in (b'{"periods":7}', b'{"periods":[["s","x",1.0]]}'):
        with pytest.raises(ProtocolError):
            decode_periods(value)


def test_filling_jobs_end_earlier_with_forecasts(monkeypatch):
    """Load: filling jobs beside serving tasks on all cores, whose load oscillates.

    Without forecasts a third of the runs were stopped since their neighbours left them
    no pace, while the load fell again within seconds.
    """
    ages, stops = {}, {}
    for forecasts in (False, True):
        ages[forecasts] = stops[forecasts] = 0
        for seed in (1, 2):
            replay = FillingReplay(seed, forecasts=forecasts)
            curio.run(replay.replay, monkeypatch, 40.0, 0.4)
            ages[forecasts] += sum(replay.list_ages())
            stops[forecasts] += replay.stopped
            figures = replay.events.stats.format()
            assert ("filling_end_error_ms_count" in figures) == forecasts
            assert ("forecast_period" in figures) == forecasts
    assert ages[True] < ages[False]
    assert stops[True] < stops[False] / 2


def test_an_unreadable_period_field_leaves_the_other_lessons(model):
    """Guards against a leader that forgets all pairs since one field is malformed."""
    store, events = MemoryRows(RowsState()), create_quiet_log()
    learned, forecaster = InterferenceModel(), SlackForecaster()
    pairs = encode_learned_state(LearnedState(model.list_estimates(9), {}))
    row = RowWrite(CONTROL_TABLE, LEARNED_STATE_KEY, pairs[:-1] + b',"periods":7}')
    writer = FencedWriter(store, LeaderTerm(1, 1, 0.0, 0.0), events)
    persister = LearnedStatePersister(
        store, writer, learned, DurationModel(), events, forecaster=forecaster
    )

    async def main() -> None:
        await store.commit(Transaction((), (row,)))
        await curio.ignore_after(0.3, persister.run)

    curio.run(main)
    assert learned.get_interference("f", "s") == pytest.approx(0.5)
    assert not forecaster.list_periods(9)
    assert "row_unreadable 1" in events.stats.format()


def test_nothing_is_forecast_without_the_feature(model):
    assert create_filling_work(NO_FEATURES, model, create_quiet_log()) is None
    assert create_mover(None, JobRegistry(create_quiet_log()), model, 1.25) is None
    assert PlacementRequest(FILLING, KEY).outlook is None

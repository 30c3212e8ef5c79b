"""The short soak: a few seeds of real processes, and planted faults that it has to find."""

from dataclasses import dataclass, replace

import pytest
from soak_run import play, play_scenario
from soak_scenario import CLASSES, Event, Mood, Scenario, Step, draw

SEEDS = (4, 8, 9, 11, 13, 29)


@dataclass(frozen=True)
class Planted:
    """A planted fault, the rule of the judge that it breaks, and the run that meets it many times."""

    name: str
    rule: str
    moods: dict[Mood, float]
    events: tuple[Event, ...] = ()
    classes: tuple[str, ...] = CLASSES
    withdrawn_share: float = 0.0

    def scenario(self) -> Scenario:
        """The run, crowded by nobody and with messages that outlast a restart."""
        return replace(
            draw(9),
            rate_per_s=80.0,
            crowd=0,
            sockets=512,
            moods=self.moods,
            events=self.events,
            classes=self.classes,
            life_ms=(3000, 4000),
            withdrawn_share=self.withdrawn_share,
        )


KILLS = tuple(Event(at_s, Step.KILL) for at_s in (1.5, 3.5, 5.5, 7.5, 9.5))
RESTARTS = (Event(2.0, Step.RESTART), Event(7.5, Step.RESTART))
FAILING = {Mood.DONE: 0.3, Mood.ERROR: 0.7}
PLANTED = [
    Planted("answer_dropped_at_the_end", "lost", {Mood.DONE: 1.0}, RESTARTS),
    Planted("attempt_not_recorded", "effects", {Mood.LATE: 1.0}, KILLS, ("unsafe",)),
    Planted("window_one_second_short", "window", FAILING, (), ("keyed",)),
    Planted("notice_twice", "notices", FAILING),
    Planted("refusal_after_an_attempt", "refused", FAILING, (), ("unsafe",)),
    Planted("doubtful_410_ignored", "over", FAILING, (), ("safe", "keyed"), 0.8),
]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_soaked_courier_breaks_no_rule(tmp_path, seed):
    outcome = play(seed, tmp_path)
    assert not outcome.violations and not outcome.is_void, outcome.line()


@pytest.mark.parametrize("planted", PLANTED, ids=lambda planted: planted.name)
def test_the_soak_finds_a_planted_fault(tmp_path, planted):
    outcome = play_scenario(planted.scenario(), tmp_path, planted.name)
    assert any(violation.startswith(planted.rule) for violation in outcome.violations), outcome.line()


@pytest.mark.parametrize("planted", PLANTED, ids=lambda planted: planted.name)
def test_the_run_of_a_planted_fault_breaks_no_rule_without_it(tmp_path, planted):
    outcome = play_scenario(planted.scenario(), tmp_path)
    assert not outcome.violations and not outcome.is_void, outcome.line()

"""The agreement among keepers: simulated under seeds, explored in the small, and its parts one by one."""

from ironfall.lab.agreement_sim import run


def test_histories_hold_under_seeds():
    confirmed = seen = 0
    for seed in range(100):
        sim, wrong = run(seed)
        assert not wrong, "\n".join([wrong, *sim.told])
        confirmed += sum(act.end >= 0 for act in sim.acts)
        seen += sim.counted["older disks seen"]
    assert confirmed > 5_000 and seen

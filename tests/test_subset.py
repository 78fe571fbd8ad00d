"""An entry connected to a subset of the sidecars reaches every service."""

from collections.abc import Iterator

import pytest
from freezegun import freeze_time

from toucancourse.errors import LogDownError
from toucancourse.routing import offers as offer_items
from toucancourse.routing.offers import (
    CODEC,
    REPEAT_SECONDS,
    Offer,
    OfferState,
    OfferWriter,
)
from toucancourse.routing.subset import PEERS_PER_OFFER, choose_peers

from .fleet import SmallFleet
from .test_collector import MemoryLog

SIDECARS = tuple(f'm{number}' for number in range(300))
RARE = {'booking': ('m7', 'm8', 'm9', 'm10'), 'large@1': SIDECARS[:40]}


class TestChoosePeers:
    """A subset serves every version and service, and load is spread."""

    def test_few_sidecars(self) -> None:
        """All sidecars are chosen if there are no more than the limit."""
        assert choose_peers('e1', ('m1', 'm2'), {}, 2) == {'m1', 'm2'}

    def test_covers_rare_offers(self) -> None:
        """Each entry reaches the service with the fewest sidecars."""
        for number in range(40):
            chosen = choose_peers(f'e{number}', SIDECARS, RARE, 24)
            assert 24 <= len(chosen) <= 24 + PEERS_PER_OFFER * len(RARE)
            for names in RARE.values():
                assert len(chosen.intersection(names)) >= PEERS_PER_OFFER

    def test_many_offers(self) -> None:
        """All are covered, even if that takes more sidecars than the limit."""
        groups = {name: (name,) for name in SIDECARS[:50]}
        chosen = choose_peers('e1', SIDECARS, groups, 10)
        assert set(groups) <= chosen

    def test_every_sidecar_is_used(self) -> None:
        """Together many entries use all sidecars."""
        used = {
            name
            for number in range(200)
            for name in choose_peers(f'e{number}', SIDECARS, RARE, 24)
        }
        assert used == set(SIDECARS)


class TestOfferState:
    """The state has the last offer of each sidecar."""

    def test_last_offer_replaces_earlier_ones(self) -> None:
        """The state restored from a dump is the same."""
        state = OfferState()
        state.apply(Offer('m1', ['a@1']))
        state.apply(Offer('m2', ['a@1', 'b@1']))
        state.apply(Offer('m1', ['b@1']))
        restored = OfferState()
        restored.load(state.dump())
        for loaded in (state, restored):
            groups = loaded.group_by_offer(('m1', 'm2', 'unknown'))
            assert groups == {'a@1': ['m2'], 'b@1': ['m1', 'm2']}

    def test_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The sidecars with the oldest offers are evicted."""
        monkeypatch.setattr(offer_items, 'MAX_SIDECARS', 2)
        state = OfferState()
        for name in ('m1', 'm2', 'm1', 'm3'):
            state.apply(Offer(name, ['a@1']))
        assert state.group_by_offer(('m1', 'm2', 'm3')) == {'a@1': ['m1', 'm3']}


class TestOfferWriter:
    """Offers are written on a change and before their records expire."""

    def test_changes(self) -> None:
        """A changed offer is written at once, an unchanged one within 1 h."""
        log = MemoryLog()
        offers = ['a@1']
        with freeze_time() as clock:
            writer = OfferWriter('m1', log, lambda: tuple(offers))
            writer.write()
            writer.write()
            assert len(log.records) == 1
            offers.append('b@1')
            writer.write()
            assert len(log.records) == 2
            clock.tick(REPEAT_SECONDS)
            writer.write()
        assert [CODEC.decode(body)[0].offers for body in log.records] == [
            ['a@1'],
            ['a@1', 'b@1'],
            ['a@1', 'b@1'],
        ]

    def test_log_down(self) -> None:
        """An offer that couldn't be written is written by the next call."""
        log = MemoryLog()
        log.down = True
        writer = OfferWriter('m1', log, lambda: ('a@1',))
        writer.write()
        with pytest.raises(LogDownError):
            log.read('offers', 0)
        log.down = False
        writer.write()
        assert len(log.records) == 1


@pytest.fixture(scope='module')
def limited() -> Iterator[SmallFleet]:
    """Return a fleet whose entries connect to one sidecar without offers."""
    with SmallFleet(entry={'max_peers': 1}) as fleet:
        yield fleet


class TestLimitedFleet:
    """Entries find the endpoints that they need through the offers."""

    @pytest.mark.parametrize('entry', ['e1', 'e2'])
    def test_reaches_all(self, limited: SmallFleet, entry: str) -> None:
        """Each entry reaches both versions and the only booking service."""
        for model in ('small@1', 'large@1'):
            assert limited.chat(entry, model=model).status == 200
        assert limited.book(entry).status == 201

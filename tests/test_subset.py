"""An entry that connects to a part of the sidecars reaches everything."""

from collections.abc import Iterator

import pytest
from freezegun import freeze_time

from toucancourse.errors import LogDownError
from toucancourse.routing import offers as offer_items
from toucancourse.routing.offers import (
    CODEC,
    REPEAT_SECONDS,
    Offer,
    OfferBook,
    OfferWriter,
)
from toucancourse.routing.subset import PEERS_PER_OFFER, choose_peers

from .fleet import SmallFleet
from .test_collector import MemoryLog

SIDECARS = tuple(f'm{number}' for number in range(300))
RARE = {'booking': ('m7', 'm8', 'm9', 'm10'), 'large@1': SIDECARS[:40]}


class TestChoosePeers:
    """A subset covers every version and service, and is spread."""

    def test_few(self) -> None:
        """All are taken while they are few."""
        assert choose_peers('e1', ('m1', 'm2'), {}, 2) == {'m1', 'm2'}

    def test_covers_offers(self) -> None:
        """Each entry reaches the rarest service."""
        for number in range(40):
            chosen = choose_peers(f'e{number}', SIDECARS, RARE, 24)
            assert 24 <= len(chosen) <= 24 + PEERS_PER_OFFER * len(RARE)
            for names in RARE.values():
                assert len(chosen.intersection(names)) >= PEERS_PER_OFFER

    def test_many_offers(self) -> None:
        """They are covered though that takes more than the limit."""
        groups = {name: (name,) for name in SIDECARS[:50]}
        chosen = choose_peers('e1', SIDECARS, groups, 10)
        assert set(groups) <= chosen

    def test_no_sidecar_is_left_out(self) -> None:
        """Many entries together use all sidecars."""
        used = {
            name
            for number in range(200)
            for name in choose_peers(f'e{number}', SIDECARS, RARE, 24)
        }
        assert used == set(SIDECARS)


class TestOfferBook:
    """The last offer of each sidecar counts."""

    def test_last_counts(self) -> None:
        """A dump and its load change nothing."""
        book = OfferBook()
        book.apply(Offer('m1', ['a@1']))
        book.apply(Offer('m2', ['a@1', 'b@1']))
        book.apply(Offer('m1', ['b@1']))
        fresh = OfferBook()
        fresh.load(book.dump())
        for found in (book, fresh):
            groups = found.group(('m1', 'm2', 'unknown'))
            assert groups == {'a@1': ['m2'], 'b@1': ['m1', 'm2']}

    def test_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Sidecars that were replaced long ago are forgotten."""
        monkeypatch.setattr(offer_items, 'MAX_SIDECARS', 2)
        book = OfferBook()
        for name in ('m1', 'm2', 'm1', 'm3'):
            book.apply(Offer(name, ['a@1']))
        assert book.group(('m1', 'm2', 'm3')) == {'a@1': ['m1', 'm3']}


class TestOfferWriter:
    """Offers are written when they change, and in case they expired."""

    def test_changes(self) -> None:
        """An unchanged offer is repeated after an hour at most."""
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
        assert [CODEC.decode(row)[0].offers for row in log.records] == [
            ['a@1'],
            ['a@1', 'b@1'],
            ['a@1', 'b@1'],
        ]

    def test_log_down(self) -> None:
        """An offer that was not written is written later."""
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
def narrow() -> Iterator[SmallFleet]:
    """Return a fleet whose entries would connect to one sidecar."""
    with SmallFleet(entry={'max_peers': 1}) as fleet:
        yield fleet


class TestNarrowFleet:
    """Entries find the endpoints that they need from the offers."""

    @pytest.mark.parametrize('entry', ['e1', 'e2'])
    def test_reaches_all(self, narrow: SmallFleet, entry: str) -> None:
        """Both versions and the one booking service are reached."""
        for model in ('small@1', 'large@1'):
            assert narrow.chat(entry, model=model).status == 200
        assert narrow.book(entry).status == 201

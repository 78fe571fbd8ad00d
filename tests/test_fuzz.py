"""Fuzz tests: invalid input raises only the documented errors."""

import json
from pathlib import Path
from typing import Any, get_origin, get_type_hints

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucancourse.billing import claims, spend
from toucancourse.contract.replay import apply_entry
from toucancourse.contract.state import State
from toucancourse.delivery.attempts import Attempt
from toucancourse.errors import CourseError
from toucancourse.interfaces.log import Entry
from toucancourse.protocol import peer_pb2
from toucancourse.report import levels
from toucancourse.routing import offers, quality
from toucancourse.settings.files import SettingsError, read_settings
from toucancourse.settings.schema import SCHEMA
from toucancourse.streams.codec import FORMAT_VERSION
from toucancourse.streams.follower import Follower

from .test_collector import MemoryLog

ITEMS: dict[str, tuple[Any, ...]] = {
    'claims': (claims.Claim, claims.ClaimEnd, claims.Pin),
    'spend': (
        spend.BillBatch,
        spend.AdoptedBill,
        spend.Reserve,
        spend.Release,
        spend.Retire,
    ),
    'levels': (levels.Counts,),
    'quality': (quality.Ratings,),
    'offers': (offers.Offer,),
}
STATES: dict[str, tuple[Any, Any]] = {
    'claims': (claims.CODEC, claims.ClaimState),
    'spend': (spend.CODEC, spend.SpendState),
    'levels': (levels.CODEC, levels.LevelState),
    'quality': (quality.CODEC, quality.QualityState),
    'offers': (offers.CODEC, offers.OfferState),
}

short_texts = st.sampled_from(
    ('', 'a', 'b', '1-2', '3', '1-999999999999', 'not_run')
)
numbers = st.integers(-5, 5) | st.integers() | st.floats()
scalars = (
    short_texts | numbers | st.booleans() | st.none() | st.text(max_size=5)
)
values = st.recursive(
    scalars, lambda inner: st.lists(inner, max_size=8), max_leaves=12
)
rows = st.lists(st.lists(scalars, min_size=0, max_size=9), max_size=3)
FIELDS = {str: short_texts, int: st.integers(-3, 9), float: numbers, list: rows}


def make_items(stream: str) -> st.SearchStrategy[list[Any]]:
    """Generate encoded items whose fields mostly have the right types."""

    def make_row(item_type: Any) -> st.SearchStrategy[list[Any]]:
        hints = get_type_hints(item_type).values()
        fields = [
            st.one_of(FIELDS[get_origin(hint) or hint], scalars)
            for hint in hints
        ]
        return st.tuples(st.just(item_type.__name__), *fields).map(list)

    good = [make_row(item_type) for item_type in ITEMS[stream]]
    return st.lists(st.one_of(*good, values), max_size=6)


class TestStreams:
    """Invalid records stop no reader; all readers reach the same state."""

    @pytest.mark.parametrize('stream', sorted(STATES))
    @given(data=st.data())
    def test_any_items(self, stream: str, data: st.DataObject) -> None:
        """Two readers reach the same state, whose dump can be loaded."""
        log = MemoryLog()
        for body in data.draw(st.lists(make_items(stream), max_size=4)):
            log.append(stream, json.dumps([FORMAT_VERSION, body]))
        codec, state_type = STATES[stream]
        followers = [
            Follower(log, stream, codec, state_type(), 1.0) for _ in range(2)
        ]
        for follower in followers:
            follower.sync(len(log.records), 1)
        dumps = [json.dumps(reader.state.dump()) for reader in followers]
        assert dumps[0] == dumps[1]
        state_type().load(json.loads(dumps[0]))

    @given(bodies=st.lists(st.text() | values.map(json.dumps), max_size=4))
    def test_any_text(self, bodies: list[str]) -> None:
        """Records that cannot be decoded are skipped."""
        log = MemoryLog()
        log.records = bodies
        follower = Follower(log, 'claims', claims.CODEC, claims.ClaimState(), 1)
        follower.sync(len(bodies), 1)
        assert follower.offset == len(bodies)
        assert not len(follower.state)

    def test_bad_item_between_good_ones(self) -> None:
        """An invalid item leaves the other items of a merged record intact."""
        good = ['Retire', 'a']
        bad = ['Reserve', 'a', 'one', 'c', 'day', 1, 1, 1]
        items = spend.CODEC.decode(
            json.dumps([FORMAT_VERSION, [good, bad, good]])
        )
        assert items == (spend.Retire('a'), spend.Retire('a'))


class TestConfiguration:
    """Records of the configuration stream."""

    @given(body=st.text() | values.map(json.dumps))
    def test_any_text(self, body: str) -> None:
        """An invalid record is not accepted; the offset advances."""
        applied = apply_entry(State(), Entry(0, body))
        assert applied.state.offset == 1
        assert applied.verdict.code != 'accepted'


class TestSettings:
    """Settings files."""

    @given(
        rows=st.lists(
            st.tuples(
                st.sampled_from((*SCHEMA, 'other')),
                st.sampled_from(
                    [key for section in SCHEMA.values() for key in section]
                ),
                st.text(max_size=12) | short_texts,
            ),
            max_size=12,
        )
    )
    def test_any_keys(
        self,
        tmp_path_factory: pytest.TempPathFactory,
        rows: list[tuple[str, str, str]],
    ) -> None:
        """Such a file is rejected with a one-line error."""
        path: Path = tmp_path_factory.mktemp('fuzz') / 'any.ini'
        lines = [f'[{name}]\n{key} = {text}\n' for name, key, text in rows]
        path.write_text(''.join(lines), encoding='utf-8', errors='replace')
        with pytest.raises(SettingsError) as raised:
            read_settings(str(path))
        assert '\n' not in raised.value.text


class TestFrames:
    """Frames of one attempt in any order, repeated or missing."""

    @given(
        order=st.lists(st.integers(0, 4), max_size=12), count=st.integers(0, 6)
    )
    def test_any_order(self, order: list[int], count: int) -> None:
        """The caller gets a prefix of the response; all of it, or an error."""
        attempt = Attempt(peer_pb2.Open())
        written: list[bytes] = []
        attempt.write_to(written.append)
        for number in order:
            frame = peer_pb2.Frame(seq=number, data=b'%d' % number)
            if number == 4:
                frame.end.frames = count
                frame.end.outcome = 'done'
            attempt.deliver([frame])
        text = b''.join(written)
        assert b'01234'.startswith(text)
        try:
            attempt.check()
        except CourseError:
            return
        assert text == b'01234'
        assert count == 5

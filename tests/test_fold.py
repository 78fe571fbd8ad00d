"""The configuration's fold against a naive one, and its snapshots."""

import json
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from toucancourse.contract.fold import (
    ACCEPTED,
    INVALID,
    STALE,
    UNSAFE,
    UNSUPPORTED,
    fold_entry,
)
from toucancourse.contract.records import Change, encode_record
from toucancourse.contract.snapshots import (
    Starter,
    open_snapshot,
    take_snapshot,
)
from toucancourse.contract.state import State, dump_state
from toucancourse.interfaces.log import Entry
from toucancourse.membership.configuration import Configuration

NAMES = ('zone/a', 'zone/b', 'instance/i')
VERSION = {
    'state': 'live',
    'prompt_price': 1,
    'completion_price': 1,
    'quality': {'*': 0.8},
}
CONTRACT = {
    'versions': ['m@1'],
    'services': [],
    'quality': 0.5,
    'spend': 10,
    'requests_per_second': 1,
    'concurrent': 1,
    'max_output_tokens': 1,
    'priority': 1,
    'keys': [],
}


class Records:
    """A log in memory that folds as it grows."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[Entry] = []
        self.state = State()

    def add(self, name: str, base: int, body: Any, **more: Any) -> str:
        """Append a change; return its verdict's code."""
        change_id = more.pop('change_id', f'c{len(self.entries)}')
        change = Change(change_id, name, base, 'o', body, **more)
        return self.add_text(encode_record(change))

    def add_text(self, text: str) -> str:
        """Append any text; return its verdict's code."""
        entry = Entry(len(self.entries), text)
        self.entries.append(entry)
        folded = fold_entry(self.state, entry)
        self.state = folded.state
        return folded.verdict.code


class TestVerdicts:
    """Each kind of change gets its verdict."""

    def test_compare_and_set(self) -> None:
        """A change against an old revision loses, a repeated one too."""
        records = Records()
        body = {'out': False}
        assert records.add('zone/a', 0, body, change_id='x') == ACCEPTED
        assert records.add('zone/a', 0, body, change_id='x') == 'duplicate'
        assert records.add('zone/a', 0, body) == STALE
        assert records.add('zone/a', 1, {'out': True}, force=True) == ACCEPTED
        assert records.state.revision('zone/a') == 4

    def test_deleted_object_keeps_its_revision(self) -> None:
        """A change made before a deletion can't bring the object back."""
        records = Records()
        records.add('zone/a', 0, {'out': False})
        assert records.add('zone/a', 1, None) == ACCEPTED
        assert records.add('zone/a', 0, {'out': True}) == STALE
        assert records.state.body('zone/a') is None

    @pytest.mark.parametrize(
        ('change', 'key'),
        [
            ({'spend': -1}, 'spend'),
            ({'quality': 0.9}, 'quality'),
            ({'versions': ['m@2']}, 'versions'),
            ({'versions': ['m']}, 'versions'),
            ({'keys': ['short']}, 'keys'),
            ({'services': ['none']}, 'services'),
            ({'colour': 'red'}, 'colour'),
            ({'priority': True}, 'priority'),
        ],
    )
    def test_invalid_contract(self, change: dict[str, Any], key: str) -> None:
        """A contract that can't work is refused with its key."""
        records = Records()
        records.add('version/m@1', 0, VERSION)
        entry = Entry(
            1,
            encode_record(
                Change('c', 'contract/x', 0, 'o', {**CONTRACT, **change})
            ),
        )
        verdict = fold_entry(records.state, entry).verdict
        assert verdict.code == INVALID
        assert key in {problem.key for problem in verdict.problems}

    def test_customer_left_with_nothing(self) -> None:
        """Withdrawing a customer's last version needs force."""
        records = Records()
        records.add('version/m@1', 0, VERSION)
        records.add('contract/x', 0, CONTRACT)
        gone = {**VERSION, 'state': 'withdrawn'}
        assert records.add('version/m@1', 1, gone) == UNSAFE
        assert records.add('version/m@1', 1, gone, force=True) == ACCEPTED
        assert not records.state.usable('x')

    def test_newer_format_waits_for_its_activation(self) -> None:
        """A record of a format that is not active is void for all."""
        records = Records()
        body = {'out': False}
        assert records.add('zone/a', 0, body, format=2) == UNSUPPORTED
        assert records.add('format/records', 0, {'active': 2}) == ACCEPTED
        assert records.add('zone/a', 0, body, format=2) == ACCEPTED

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'null',
            '3',
            '{"kind":"change"}',
            '{"kind":"snapshot","offset":"x","state":{},"digest":""}',
            '{"kind":["x"]}',
            '[' * 100_000,
            '{"kind":"change","change_id":"c","name":"zone/a","base":NaN,'
            '"operator":"o","body":{}}',
        ],
    )
    def test_damaged(self, text: str) -> None:
        """Any text is folded without an error and changes no object."""
        records = Records()
        records.add('zone/a', 0, {'out': False})
        before = records.state.objects
        records.add_text(text)
        assert records.state.objects == before


class TestSnapshots:
    """A state goes through a snapshot unchanged."""

    def test_tampered(self) -> None:
        """A snapshot whose digest is wrong is not opened."""
        records = Records()
        records.add('zone/a', 0, {'out': False})
        snapshot = take_snapshot(records.state)
        assert open_snapshot(snapshot) == records.state
        state = json.loads(json.dumps(snapshot.state))
        state['objects']['zone/a'][2]['out'] = True
        assert open_snapshot(snapshot._replace(state=state)) is None

    def test_start_after_retention(self) -> None:
        """A reader of a cut log waits for a snapshot it can continue."""
        records = Records()
        for number in range(6):
            base = records.state.revision('zone/a')
            records.add('zone/a', base, {'out': False}, at=number)
        early = encode_record(take_snapshot(records.state))
        records.add('zone/b', 0, {'out': False})
        records.add_text(early)
        records.add('instance/i', 0, {'out': True})
        starter = Starter()
        found = [starter.feed(entry) for entry in records.entries[6:]]
        assert found[0] is None
        state = State()
        for entry in records.entries[:8]:
            state = fold_entry(state, entry).state
        assert found[1] == state
        late = Starter()
        assert all(late.feed(entry) is None for entry in records.entries[7:])


class FoldMachine(RuleBasedStateMachine):
    """Readers with duplicates, gaps and restarts agree with the log.

    A naive reader that takes the last write that it hears of reverts.
    """

    changes = Bundle('changes')
    #: Reversions of the naive reader over all runs.
    naive_reverted = 0

    @initialize()
    def start(self) -> None:
        """Start with an empty log and three readers."""
        self.records = Records()
        self.records.add('zone/a', 0, {'out': False})
        self.readers = [Configuration() for _ in range(3)]
        for reader in self.readers:
            reader.adopt(State())
        self.naive: dict[str, tuple[int, Any]] = {}
        self.highest = [0, 0, 0]

    @rule(
        target=changes,
        name=st.sampled_from(NAMES),
        lag=st.integers(0, 2),
        out=st.booleans(),
    )
    def change(self, name: str, lag: int, out: bool) -> str:
        """Append a change against the present or an older revision."""
        base = max(0, self.records.state.revision(name) - lag)
        body = {'out': out}
        self.records.add(name, base, body, force=True)
        return self.records.entries[-1].body

    @rule(text=changes)
    def repeat(self, text: str) -> None:
        """Append a record again, as after a lost answer."""
        self.records.add_text(text)

    @rule()
    def snapshot(self) -> None:
        """Append a snapshot."""
        self.records.add_text(encode_record(take_snapshot(self.records.state)))

    @rule(
        reader=st.integers(0, 2),
        start=st.integers(0, 30),
        count=st.integers(1, 10),
    )
    def deliver(self, reader: int, start: int, count: int) -> None:
        """Give a reader some records, old ones and gaps included."""
        entries = self.records.entries[start : start + count]
        self.readers[reader].apply(entries)
        for entry in entries:
            self._tell_naive(entry)

    @rule(reader=st.integers(0, 2), other=st.integers(0, 2))
    def restart(self, reader: int, other: int) -> None:
        """Replace a reader; it takes its state from another."""
        state = self.readers[other].state
        opened = open_snapshot(take_snapshot(state))
        assert opened == state
        fresh = Configuration()
        fresh.adopt(opened)
        self.readers[reader] = fresh
        self.highest[reader] = fresh.offset

    @invariant()
    def readers_hold_a_prefix(self) -> None:
        """Each reader's state is the fold of the log up to its offset."""
        states = [State()]
        for entry in self.records.entries:
            states.append(fold_entry(states[-1], entry).state)
        for place, reader in enumerate(self.readers):
            assert reader.state == states[reader.offset]
            assert reader.offset >= self.highest[place]
            self.highest[place] = reader.offset

    def _tell_naive(self, entry: Entry) -> None:
        row = json.loads(entry.body)
        if row['kind'] != 'change':
            return
        old = self.naive.get(row['name'])
        self.naive[row['name']] = (entry.offset, row['body'])
        if old is not None and old[0] > entry.offset:
            FoldMachine.naive_reverted += 1


TestFoldMachine = FoldMachine.TestCase


class TestNaive:
    """The naive reader fails where the fold does not."""

    def test_naive_reader_reverts(self) -> None:
        """Last write heard wins: an old record delivered late reverts."""
        machine = FoldMachine()
        machine.start()
        for out in (False, True):
            machine.change('zone/b', 0, out)
        machine.deliver(0, 0, 9)
        assert machine.naive['zone/b'][1] == {'out': True}
        machine.deliver(0, 0, 2)
        assert machine.naive['zone/b'][1] == {'out': False}
        assert machine.readers[0].state.body('zone/b') == {'out': True}
        assert FoldMachine.naive_reverted > 0

    def test_dump_is_stable(self) -> None:
        """A dump of a state is the same after a round trip."""
        records = Records()
        records.add('zone/a', 0, {'out': False})
        dump = json.loads(json.dumps(dump_state(records.state)))
        snapshot = take_snapshot(records.state)
        opened = open_snapshot(snapshot._replace(state=dump))
        assert opened is not None
        assert opened.digest() == records.state.digest()

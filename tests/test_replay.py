"""Replay of configuration records, against a naive reader, and snapshots."""

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

from toucancourse.contract.records import Change, encode_record
from toucancourse.contract.replay import (
    ACCEPTED,
    INVALID,
    STALE,
    UNSAFE,
    UNSUPPORTED,
    apply_entry,
)
from toucancourse.contract.snapshots import (
    StateRecovery,
    create_snapshot,
    load_snapshot,
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


class MemoryLog:
    """A log in memory that applies each record as it is appended."""

    def __init__(self) -> None:
        """Create an empty log."""
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
        applied = apply_entry(self.state, entry)
        self.state = applied.state
        return applied.verdict.code


class TestVerdicts:
    """Each change gets the expected verdict."""

    def test_compare_and_set(self) -> None:
        """A stale or repeated change is rejected."""
        log = MemoryLog()
        body = {'out': False}
        assert log.add('zone/a', 0, body, change_id='x') == ACCEPTED
        assert log.add('zone/a', 0, body, change_id='x') == 'duplicate'
        assert log.add('zone/a', 0, body) == STALE
        assert log.add('zone/a', 1, {'out': True}, force=True) == ACCEPTED
        assert log.state.revision('zone/a') == 4

    def test_deleted_object_keeps_its_revision(self) -> None:
        """A change based on no object can't restore a deleted one."""
        log = MemoryLog()
        log.add('zone/a', 0, {'out': False})
        assert log.add('zone/a', 1, None) == ACCEPTED
        assert log.add('zone/a', 0, {'out': True}) == STALE
        assert log.state.body('zone/a') is None

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
        """An invalid contract is rejected with the key at fault."""
        log = MemoryLog()
        log.add('version/m@1', 0, VERSION)
        entry = Entry(
            1,
            encode_record(
                Change('c', 'contract/x', 0, 'o', {**CONTRACT, **change})
            ),
        )
        verdict = apply_entry(log.state, entry).verdict
        assert verdict.code == INVALID
        assert key in {problem.key for problem in verdict.problems}

    def test_customer_without_usable_version(self) -> None:
        """Withdrawing a customer's last version needs force."""
        log = MemoryLog()
        log.add('version/m@1', 0, VERSION)
        log.add('contract/x', 0, CONTRACT)
        withdrawn = {**VERSION, 'state': 'withdrawn'}
        assert log.add('version/m@1', 1, withdrawn) == UNSAFE
        assert log.add('version/m@1', 1, withdrawn, force=True) == ACCEPTED
        assert not log.state.usable_versions('x')

    def test_newer_format_needs_activation(self) -> None:
        """A record of an inactive format is rejected by all readers."""
        log = MemoryLog()
        body = {'out': False}
        assert log.add('zone/a', 0, body, format=2) == UNSUPPORTED
        assert log.add('format/records', 0, {'active': 2}) == ACCEPTED
        assert log.add('zone/a', 0, body, format=2) == ACCEPTED

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
        """An invalid record raises no error and changes no object."""
        log = MemoryLog()
        log.add('zone/a', 0, {'out': False})
        before = log.state.objects
        log.add_text(text)
        assert log.state.objects == before


class TestSnapshots:
    """A snapshot restores the same state, or none."""

    def test_tampered(self) -> None:
        """A snapshot with a wrong digest is not loaded."""
        log = MemoryLog()
        log.add('zone/a', 0, {'out': False})
        snapshot = create_snapshot(log.state)
        assert load_snapshot(snapshot) == log.state
        state = json.loads(json.dumps(snapshot.state))
        state['objects']['zone/a'][2]['out'] = True
        assert load_snapshot(snapshot._replace(state=state)) is None

    def test_start_after_retention(self) -> None:
        """A reader of a truncated log waits for a usable snapshot.

        It must have all records after the snapshot's offset.
        """
        log = MemoryLog()
        for number in range(6):
            base = log.state.revision('zone/a')
            log.add('zone/a', base, {'out': False}, at=number)
        snapshot = encode_record(create_snapshot(log.state))
        log.add('zone/b', 0, {'out': False})
        log.add_text(snapshot)
        log.add('instance/i', 0, {'out': True})
        recovery = StateRecovery()
        recovered = [recovery.add_entry(entry) for entry in log.entries[6:]]
        assert recovered[0] is None
        state = State()
        for entry in log.entries[:8]:
            state = apply_entry(state, entry).state
        assert recovered[1] == state
        late_recovery = StateRecovery()
        assert all(
            late_recovery.add_entry(entry) is None for entry in log.entries[7:]
        )


class ReplayMachine(RuleBasedStateMachine):
    """Readers with duplicates, gaps and restarts agree with the log.

    A naive reader that applies the last record that it receives goes back to
    older values.
    """

    changes = Bundle('changes')
    #: Times that the naive reader went back to an older value, over all runs.
    naive_reversions = 0

    @initialize()
    def start(self) -> None:
        """Start with a log of one object and three empty readers."""
        self.log = MemoryLog()
        self.log.add('zone/a', 0, {'out': False})
        self.readers = [Configuration() for _ in range(3)]
        for reader in self.readers:
            reader.install_state(State())
        self.naive: dict[str, tuple[int, Any]] = {}
        self.last_offsets = [0, 0, 0]

    @rule(
        target=changes,
        name=st.sampled_from(NAMES),
        lag=st.integers(0, 2),
        out=st.booleans(),
    )
    def change(self, name: str, lag: int, out: bool) -> str:
        """Append a change based on the current or an older revision."""
        base = max(0, self.log.state.revision(name) - lag)
        body = {'out': out}
        self.log.add(name, base, body, force=True)
        return self.log.entries[-1].body

    @rule(text=changes)
    def repeat(self, text: str) -> None:
        """Append a record again, as after a lost append response."""
        self.log.add_text(text)

    @rule()
    def snapshot(self) -> None:
        """Append a snapshot."""
        self.log.add_text(encode_record(create_snapshot(self.log.state)))

    @rule(
        reader=st.integers(0, 2),
        start=st.integers(0, 30),
        count=st.integers(1, 10),
    )
    def deliver(self, reader: int, start: int, count: int) -> None:
        """Deliver some records to a reader, perhaps old ones or with a gap."""
        entries = self.log.entries[start : start + count]
        self.readers[reader].apply(entries)
        for entry in entries:
            self._apply_naive(entry)

    @rule(reader=st.integers(0, 2), other=st.integers(0, 2))
    def restart(self, reader: int, other: int) -> None:
        """Replace a reader by a new one with the snapshot of another."""
        state = self.readers[other].state
        loaded = load_snapshot(create_snapshot(state))
        assert loaded == state
        replacement = Configuration()
        replacement.install_state(loaded)
        self.readers[reader] = replacement
        self.last_offsets[reader] = replacement.offset

    @invariant()
    def readers_hold_a_prefix(self) -> None:
        """Each reader's state is that of the log up to the reader's offset."""
        states = [State()]
        for entry in self.log.entries:
            states.append(apply_entry(states[-1], entry).state)
        for number, reader in enumerate(self.readers):
            assert reader.state == states[reader.offset]
            assert reader.offset >= self.last_offsets[number]
            self.last_offsets[number] = reader.offset

    def _apply_naive(self, entry: Entry) -> None:
        record = json.loads(entry.body)
        if record['kind'] != 'change':
            return
        old = self.naive.get(record['name'])
        self.naive[record['name']] = (entry.offset, record['body'])
        if old is not None and old[0] > entry.offset:
            ReplayMachine.naive_reversions += 1


TestReplayMachine = ReplayMachine.TestCase


class TestNaive:
    """A naive reader goes back to an old value where replay does not."""

    def test_naive_reader_reverts(self) -> None:
        """An old record that is delivered late replaces a newer value."""
        machine = ReplayMachine()
        machine.start()
        for out in (False, True):
            machine.change('zone/b', 0, out)
        machine.deliver(0, 0, 9)
        assert machine.naive['zone/b'][1] == {'out': True}
        machine.deliver(0, 0, 2)
        assert machine.naive['zone/b'][1] == {'out': False}
        assert machine.readers[0].state.body('zone/b') == {'out': True}
        assert ReplayMachine.naive_reversions > 0

    def test_dump_is_stable(self) -> None:
        """A state's digest survives a round trip of its dump through JSON."""
        log = MemoryLog()
        log.add('zone/a', 0, {'out': False})
        dump = json.loads(json.dumps(dump_state(log.state)))
        snapshot = create_snapshot(log.state)
        loaded = load_snapshot(snapshot._replace(state=dump))
        assert loaded is not None
        assert loaded.digest() == log.state.digest()

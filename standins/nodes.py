"""Processes that can be killed, paused and started again."""

import configparser
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from .calls import is_serving

ROOT = Path(__file__).resolve().parent.parent


class Node:
    """One process that can be killed, frozen and started again."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        """Keep the command; start() runs it."""
        self.name = name
        self._command = command
        self._log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Run the process."""
        with self._log.open('ab') as log_file:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'},
                stdout=log_file,
                stderr=log_file,
            )

    def is_running(self) -> bool:
        """Return True while the process lives."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self, timeout: float = 60) -> int:
        """End the process gracefully and return its exit code."""
        self.send(signal.SIGTERM)
        assert self.process is not None
        return self.process.wait(timeout)

    def freeze(self) -> None:
        """Pause the process."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def log_text(self) -> str:
        """Return what the process wrote."""
        return self._log.read_text(errors='replace')


class Daemon(Node):
    """A daemon with its settings file and its row of the instance list."""

    def __init__(
        self,
        name: str,
        sections: dict[str, dict[str, Any]],
        folder: Path,
    ) -> None:
        """Write the settings file."""
        path = folder / f'{name}.ini'
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with path.open('w') as ini_file:
            parser.write(ini_file)
        command = [sys.executable, '-m', 'toucancourse.daemon', str(path)]
        super().__init__(name, command, folder / f'{name}.log')
        self.path = path
        self.role = sections['daemon']['role']
        self.zone = sections['daemon']['zone']
        self.health = sections['daemon']['health_address']
        self.sections = sections
        self.state = 'live'

    @property
    def address(self) -> str:
        """Return the address in the instance list."""
        if self.role == 'sidecar':
            return str(self.sections['sidecar']['peer_address'])
        return str(self.sections['entry']['admin_address'])

    @property
    def caller_address(self) -> str:
        """Return an entry's address for callers."""
        return str(self.sections['entry']['caller_address'])

    def row(self) -> dict[str, str]:
        """Return the row of the instance list."""
        return {
            'name': self.name,
            'role': self.role,
            'zone': self.zone,
            'address': self.address,
            'state': self.state,
        }

    def is_ready(self) -> bool:
        """Return True if the daemon says that it is ready."""
        return self.is_running() and is_serving(self.health, '/readyz')

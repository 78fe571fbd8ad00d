"""Child processes that tests kill, pause and restart."""

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
    """A child process that can be killed, paused and restarted."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        """Create a node whose output is appended to the log file.

        start() runs the command.
        """
        self.name = name
        self._command = command
        self._log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self._log.open('ab') as log_file:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'},
                stdout=log_file,
                stderr=log_file,
            )

    def is_running(self) -> bool:
        """Return True while the process is running, also if it is paused."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, paused or not, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self, timeout: float = 60) -> int:
        """Send SIGTERM and return the exit code.

        Raises subprocess.TimeoutExpired after `timeout` seconds.
        """
        self.send_signal(signal.SIGTERM)
        assert self.process is not None
        return self.process.wait(timeout)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.send_signal(signal.SIGCONT)

    def log_text(self) -> str:
        """Return the output of all runs of the process."""
        return self._log.read_text(errors='replace')


class Daemon(Node):
    """A daemon with its settings file and its item of the instance list."""

    def __init__(
        self,
        name: str,
        sections: dict[str, dict[str, Any]],
        folder: Path,
    ) -> None:
        """Write the settings file; `sections` holds settings by section."""
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
        #: Address of the health checks.
        self.health = sections['daemon']['health_address']
        self.sections = sections
        #: State in the instance list.
        self.state = 'live'

    @property
    def address(self) -> str:
        """Return the address that the instance list gives for the daemon."""
        if self.role == 'sidecar':
            return str(self.sections['sidecar']['peer_address'])
        return str(self.sections['entry']['admin_address'])

    @property
    def caller_address(self) -> str:
        """Return an entry's address for callers."""
        return str(self.sections['entry']['caller_address'])

    def instance_record(self) -> dict[str, str]:
        """Return the daemon's item of the instance list."""
        return {
            'name': self.name,
            'role': self.role,
            'zone': self.zone,
            'address': self.address,
            'state': self.state,
        }

    def is_ready(self) -> bool:
        """Return True if the readiness check succeeds."""
        return self.is_running() and is_serving(self.health, '/readyz')

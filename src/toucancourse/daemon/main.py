"""The daemon program."""

import argparse
import resource
import signal
import sys
import threading

from loguru import logger

from ..protocol.transports import CertificateError, relax_waits
from ..settings.files import Settings, SettingsError, read_settings
from .entry import Entry
from .logs import set_up_logs
from .sidecar import Sidecar

EXIT_SETTINGS = 2
EXIT_FAILED = 1


def main() -> None:
    """Run a daemon as its settings file says."""
    parser = argparse.ArgumentParser(
        'toucancoursed', description='Entry or sidecar of toucancourse.'
    )
    parser.add_argument('settings', help='INI file')
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    arguments = parser.parse_args()
    try:
        settings = read_settings(arguments.settings)
    except SettingsError as error:
        sys.stderr.write(f'{error.text}\n')
        sys.exit(EXIT_SETTINGS)
    if not arguments.check:
        sys.exit(run(settings))


def raise_descriptor_limit() -> None:
    """Allow as many open connections as the system lets this process have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    set_up_logs(settings)
    raise_descriptor_limit()
    relax_waits()
    asked = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: asked.set())
    signal.signal(signal.SIGINT, lambda *_: asked.set())
    try:
        daemon = (
            Entry(settings) if settings.role == 'entry' else Sidecar(settings)
        )
        daemon.start()
    except (OSError, CertificateError) as error:
        logger.error('the daemon did not start: {}', error)
        return EXIT_FAILED
    asked.wait()
    logger.info('draining')
    daemon.drain()
    return 0

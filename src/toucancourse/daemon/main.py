"""Command line, signals and exit codes of the daemon."""

import argparse
import ctypes
import faulthandler
import importlib
import os
import resource
import signal
import sys
import threading
from typing import Final

from loguru import logger

from ..errors import CourseError
from ..platform.names import SETTINGS_VARIABLE
from ..platform.settings import NodeSettings, read_node_settings
from ..settings.files import Settings, SettingsError, read_settings
from .logs import set_up_logs, set_up_node_logs

EXIT_SETTINGS: Final = 2
EXIT_START_FAILED: Final = 1
#: Parameters of mallopt(3), as malloc.h numbers them.
MALLOPT_TRIM_THRESHOLD: Final = -1
MALLOPT_ARENA_MAX: Final = -8
MAX_ARENAS: Final = 2
#: Free memory at the end of an arena that is given back.
TRIM_BYTES: Final = 1_048_576
#: File name suffix of the users' platform's settings.
PLATFORM_SUFFIX: Final = '.toml'


def main() -> None:
    """Run the daemon that the settings file describes."""
    parser = argparse.ArgumentParser(
        'toucancoursed', description='Entry or sidecar of toucancourse.'
    )
    parser.add_argument(
        'settings',
        nargs='?',
        default=os.environ.get(SETTINGS_VARIABLE, ''),
        help=(
            "INI file, or the users' platform's TOML file; by default the "
            f'one that {SETTINGS_VARIABLE} names'
        ),
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    arguments = parser.parse_args()
    try:
        settings = _read_settings(arguments.settings)
    except SettingsError as error:
        sys.stderr.write(f'{error.text}\n')
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        return
    if isinstance(settings, NodeSettings):
        sys.exit(run_node(settings))
    sys.exit(run(settings))


def raise_descriptor_limit() -> None:
    """Raise the soft limit of open file descriptors to the hard limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def bound_allocator() -> None:
    """Limit the arenas of glibc's allocator.

    Each keeps what its threads needed at their busiest time, and by default
    there are eight for each core.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError as error:
        logger.info('allocator not bounded', why=repr(error))
        return
    mallopt(MALLOPT_ARENA_MAX, MAX_ARENAS)
    mallopt(MALLOPT_TRIM_THRESHOLD, TRIM_BYTES)


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    set_up_logs(settings)
    raise_descriptor_limit()
    stop_requested = _install_stop_signals()
    # Either roles or node is imported, which saves memory and start-up time.
    module = importlib.import_module('.roles', __package__)
    try:
        daemon = module.build(settings)
        daemon.start()
    except (OSError, CourseError) as error:
        logger.error('daemon failed to start: {}', error)
        return EXIT_START_FAILED
    stop_requested.wait()
    logger.info('draining')
    daemon.drain()
    return 0


def run_node(settings: NodeSettings) -> int:
    """Serve on the users' platform until SIGTERM; return the exit code."""
    bound_allocator()
    # Writes the stacks of all threads if the interpreter crashes.
    faulthandler.enable()
    writer = set_up_node_logs(settings.instance, 'DEBUG')
    # The settings were read just now, so a change has nothing to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stop_requested = _install_stop_signals()
    module = importlib.import_module('.node', __package__)
    try:
        node = module.Node(settings)
        signal.signal(signal.SIGHUP, lambda *_: node.reload())
        node.start()
    except OSError as error:
        logger.error('daemon failed to start', why=repr(error))
        writer.close()
        return EXIT_START_FAILED
    stop_requested.wait()
    node.drain()
    writer.close()
    # Exits at once: a normal exit would wait for the threads of requests that
    # did not finish in time.
    os._exit(0)


def _read_settings(path: str) -> Settings | NodeSettings:
    if path.endswith(PLATFORM_SUFFIX):
        return read_node_settings(path)
    return read_settings(path)


def _install_stop_signals() -> threading.Event:
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    return stop_requested

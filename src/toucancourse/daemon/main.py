"""The daemon program."""

import argparse
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
EXIT_FAILED: Final = 1
#: Settings files of the users' platform end with this.
NODE_SUFFIX: Final = '.toml'


def main() -> None:
    """Run a daemon as its settings file says."""
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
        settings = _read(arguments.settings)
    except SettingsError as error:
        sys.stderr.write(f'{error.text}\n')
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        return
    if isinstance(settings, NodeSettings):
        sys.exit(run_node(settings))
    sys.exit(run(settings))


def raise_descriptor_limit() -> None:
    """Allow as many open connections as the system lets this process have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    set_up_logs(settings)
    raise_descriptor_limit()
    asked = _await_stop()
    # Only the role that runs is imported, which saves memory and time.
    module = importlib.import_module('.roles', __package__)
    try:
        daemon = module.build(settings)
        daemon.start()
    except (OSError, CourseError) as error:
        logger.error('the daemon did not start: {}', error)
        return EXIT_FAILED
    asked.wait()
    logger.info('draining')
    daemon.drain()
    return 0


def run_node(settings: NodeSettings) -> int:
    """Serve on the users' platform until SIGTERM; return the exit code."""
    writer = set_up_node_logs(settings.instance, 'DEBUG')
    asked = _await_stop()
    module = importlib.import_module('.node', __package__)
    try:
        node = module.Node(settings)
        signal.signal(signal.SIGHUP, lambda *_: node.reload())
        node.start()
    except OSError as error:
        logger.error('the daemon did not start', why=repr(error))
        writer.close()
        return EXIT_FAILED
    asked.wait()
    node.drain()
    writer.close()
    # Threads of requests that did not end in time must not hold it up.
    os._exit(0)


def _read(path: str) -> Settings | NodeSettings:
    if path.endswith(NODE_SUFFIX):
        return read_node_settings(path)
    return read_settings(path)


def _await_stop() -> threading.Event:
    asked = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: asked.set())
    signal.signal(signal.SIGINT, lambda *_: asked.set())
    return asked

"""Command line of the daemon.

What a daemon needs is imported once its settings were read: an entry whose
callers can connect while it does so loses none of them.
"""

import argparse
import gc
import importlib
import os
import sys
from typing import Final

from ..platform.names import SETTINGS_VARIABLE
from ..platform.settings import NodeSettings, read_node_settings
from ..settings.files import Settings, SettingsError, read_settings
from .listening import listen_early

EXIT_SETTINGS: Final = 2
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
    listener = None
    if isinstance(settings, NodeSettings):
        listener = listen_early(settings.callers)
        # What imports create stays; run_node() enables it again.
        gc.disable()
    running = importlib.import_module('.running', __package__)
    if isinstance(settings, NodeSettings):
        sys.exit(running.run_node(settings, listener))
    sys.exit(running.run(settings))


def _read_settings(path: str) -> Settings | NodeSettings:
    if path.endswith(PLATFORM_SUFFIX):
        return read_node_settings(path)
    return read_settings(path)

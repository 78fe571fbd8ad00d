"""Runs a daemon until a signal stops it."""

import ctypes
import faulthandler
import gc
import importlib
import os
import resource
import signal
import threading
from socket import socket
from typing import Final

from loguru import logger

from ..errors import CourseError
from ..platform.settings import NodeSettings
from ..settings.files import Settings
from .logs import set_up_logs, set_up_node_logs

EXIT_START_FAILED: Final = 1
#: Parameters of mallopt(3), as malloc.h numbers them.
MALLOPT_TRIM_THRESHOLD: Final = -1
MALLOPT_ARENA_MAX: Final = -8
MAX_ARENAS: Final = 2
#: Free memory at the end of an arena that is given back.
TRIM_BYTES: Final = 1_048_576


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


def run_node(settings: NodeSettings, listener: socket | None) -> int:
    """Serve on the users' platform until SIGTERM; return the exit code.

    Callers that connected to the listener before are served, too.
    """
    bound_allocator()
    # Writes the stacks of all threads if the interpreter crashes.
    faulthandler.enable()
    writer = set_up_node_logs(settings.instance, 'DEBUG')
    # The settings were read just now, so a change has nothing to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stop_requested = _install_stop_signals()
    module = importlib.import_module('.node', __package__)
    try:
        node = module.Node(settings, listener)
        signal.signal(signal.SIGHUP, lambda *_: node.reload())
        node.start()
    except OSError as error:
        logger.error('daemon failed to start', why=repr(error))
        writer.close()
        return EXIT_START_FAILED
    # Objects of the modules are not looked at again.
    gc.freeze()
    gc.enable()
    stop_requested.wait()
    node.drain()
    writer.close()
    # Exits at once: a normal exit would wait for the threads of requests that
    # did not finish in time.
    os._exit(0)


def _install_stop_signals() -> threading.Event:
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    return stop_requested

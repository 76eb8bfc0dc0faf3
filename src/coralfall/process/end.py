"""End of a process that has stopped in order."""

import os
import sys
import typing as t

from . import log


def end_process(status: int) -> t.NoReturn:
    """Ends the process at once, with its log written.

    Finalizing the interpreter takes up to half a second on a busy machine, in which a process that
    has used its grace would be killed.

    :param status: exit status of the process.
    """
    log.close()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)

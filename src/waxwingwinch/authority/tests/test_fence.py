"""Tests of the fence timer in forked processes."""

import os
import signal
import time

from waxwingwinch.authority import FenceTimer
from waxwingwinch.kernel import SystemClock


def fork(body):
    """Run a function in a child and return the child's pid."""
    pid = os.fork()
    if pid == 0:
        # The test runner handles SIGALRM for its timeouts.
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        try:
            body()
        finally:
            os._exit(0)
    return pid


def run_forked(body):
    """Run a function in a child and return its wait status."""
    _, status = os.waitpid(fork(body), 0)
    return status


def test_paused_process_ends_before_it_sends():
    read_end, write_end = os.pipe()
    ready_read, ready_write = os.pipe()

    def hold_then_send():
        timer = FenceTimer(SystemClock())
        timer.arm(SystemClock().now_seconds() + 0.3)
        os.write(ready_write, b"r")
        os.kill(os.getpid(), signal.SIGSTOP)
        os.write(write_end, b"late order")

    pid = fork(hold_then_send)
    os.close(write_end)
    os.close(ready_write)
    assert os.read(ready_read, 1) == b"r"
    os.waitpid(pid, os.WUNTRACED)
    time.sleep(0.5)
    os.kill(pid, signal.SIGCONT)
    _, status = os.waitpid(pid, 0)
    assert os.WIFSIGNALED(status) and os.WTERMSIG(status) == signal.SIGALRM
    assert os.read(read_end, 100) == b""


def test_disarmed_timer_does_not_end_the_process():
    def disarm():
        timer = FenceTimer(SystemClock())
        timer.arm(SystemClock().now_seconds() + 0.1)
        timer.disarm()
        time.sleep(0.2)

    assert run_forked(disarm) == 0


def test_past_end_ends_the_process_at_once():
    def arm_late():
        FenceTimer(SystemClock()).arm(SystemClock().now_seconds() - 1.0)
        time.sleep(5.0)

    status = run_forked(arm_late)
    assert os.WTERMSIG(status) == signal.SIGALRM

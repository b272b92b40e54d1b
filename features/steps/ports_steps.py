"""Steps of the ports that tests draw."""

from __future__ import annotations

import subprocess
import sys

from behave import then, when

from standins.fleet import PORTS_IN_BLOCK

DRAW = """
import os, sys
os.getpid = lambda: 7
from standins.fleet import free_port
print(*{free_port() for _ in range(300)}, flush=True)
sys.stdin.read()
"""


@when("300 ports are drawn by each of two processes")
def draw(context):
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    context.ports = []
    for process in processes:
        drawn = process.stdout.readline().split()
        context.ports.append({int(port) for port in drawn})
    for process in processes:
        process.communicate("")


@then("none of one's ports is in the other's block")
def check_ports(context):
    first, second = (
        {port // PORTS_IN_BLOCK for port in ports} for ports in context.ports
    )
    assert len(first) == len(second) == 1, (first, second)
    assert first != second, first

"""Clock, network, disk and tasks of the operating system (docs/DESIGN.md section 3)."""

from __future__ import annotations

from .clock import RealClock
from .disk import RealDisk
from .network import RealNetwork
from .tasks import RealTasks

__all__ = ["RealClock", "RealDisk", "RealNetwork", "RealTasks"]

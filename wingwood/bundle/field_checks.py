"""Each slice's own fields (docs/DESIGN.md section 5.2). Bounds may only be relaxed, see section 5.4."""

from __future__ import annotations

import re

from .model import CallerLimits, Edition, Engine, Pool, PriorityClass, Rollout, Service, Tenant
from .problem import BundleProblem
from .route import Route

Part = Service | Route | PriorityClass | Tenant | Rollout | Pool | CallerLimits | Edition

KEYS_PER_TENANT = 1_000
HIGHEST_RATE = 1e10
HIGHEST_BURST = 1e6
HIGHEST_RETRY_SHARE = 0.2
HIGHEST_WEIGHT = 1_000_000_000
HIGHEST_ATTEMPTS = 100
LOWEST_URGENCY = 9
"""0 goes first."""
LONGEST_DEADLINE = 3600.0
LONGEST_SILENCE = 600.0
LONGEST_IDLE = 86_400.0
HIGHEST_COUNT = 2**53

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH = re.compile(r"/[!-~]{0,255}")
_HOST = re.compile(r"[a-z0-9._-]{0,253}|\[[0-9a-f:.]{2,45}\]")
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")

_PATH_MEND = "starts with /, without spaces, ? and #, up to 256 letters"
_ONLY_NAME: dict[type[Part], str] = {CallerLimits: "callers", Edition: "operator"}
"""There is one slice of these kinds, of this name."""


class _Wrong(Exception):
    """The first field that is not as it must be."""

    def __init__(self, field: str, value: object, mend: str) -> None:
        super().__init__(field)
        self.field, self.value, self.mend = field, value, mend


def check_fields(where: str, part: Part) -> BundleProblem | None:
    """None when all fields are within their bounds; ``where`` is the slice's name."""
    try:
        _check_part(part)
    except _Wrong as wrong:
        return BundleProblem(code="field", slice=where, field=wrong.field, value=str(wrong.value)[:80], mend=wrong.mend)
    return None


def _check_part(part: Part) -> None:
    match part:
        case Service():
            _check_service(part)
        case Route():
            _check_route(part)
        case Pool():
            _check_pool(part)
        case CallerLimits():
            _check_caller_limits(part)
        case Edition():
            _require(0 <= part.number <= HIGHEST_COUNT, "number", part.number, "a whole number from 0")
        case PriorityClass():
            _require(0 < part.weight <= 1000, "weight", part.weight, "above 0 and up to 1000")
            if part.urgency is not None:
                _check_urgency(part.urgency)
        case Tenant():
            _check_tenant(part)
        case Rollout():
            pass  # Checked where roll-outs are read.
    only = _ONLY_NAME.get(type(part))
    _require(only is None or part.name == only, "name", part.name, f"must be {only}; there is one slice of this kind")


def _require(fine: bool, field: str, value: object, mend: str) -> None:
    if not fine:
        raise _Wrong(field, value, mend)


def _check_urgency(urgency: int) -> None:
    _require(0 <= urgency <= LOWEST_URGENCY, "urgency", urgency, f"from 0 (first) to {LOWEST_URGENCY}")


def _check_position(position: int) -> None:
    _require(0 <= position <= HIGHEST_COUNT, "position", position, "a whole number from 0")


def _check_service(part: Service) -> None:
    pool_mend = "1 to 64 of a-z 0-9 . _ -"
    _require(bool(_NAME.fullmatch(part.pool)), "pool", part.pool, pool_mend)
    _require(
        0 < part.deadline <= LONGEST_DEADLINE,
        "deadline",
        part.deadline,
        f"seconds above 0 and up to {LONGEST_DEADLINE:.0f}",
    )
    _require(
        0 < part.first_byte_patience <= part.deadline,
        "first_byte_patience",
        part.first_byte_patience,
        f"seconds above 0 and up to deadline {part.deadline}",
    )
    for field, value, most in (
        ("silence_patience", part.silence_patience, LONGEST_SILENCE),
        ("latency_objective", part.latency_objective, LONGEST_DEADLINE),
        ("longest_pause", part.longest_pause, LONGEST_SILENCE),
    ):
        _require(value is None or 0 < value <= most, field, value, f"seconds above 0 and up to {most:.0f}")
    _require(
        0 <= part.retry_share <= HIGHEST_RETRY_SHARE,
        "retry_share",
        part.retry_share,
        f"a share from 0 to {HIGHEST_RETRY_SHARE}",
    )
    _require(1 <= part.attempts <= HIGHEST_ATTEMPTS, "attempts", part.attempts, f"from 1 to {HIGHEST_ATTEMPTS}")
    _check_urgency(part.urgency)
    for share in part.split:
        _require(bool(_NAME.fullmatch(share.pool)), "split", share.pool, pool_mend)
        _require(0 <= share.weight <= HIGHEST_WEIGHT, "split", share.weight, "weights are whole numbers from 0")
    names = [share.pool for share in part.split]
    _require(len(set(names)) == len(names), "split", names, "name each pool once")
    _require(not part.split or sum(share.weight for share in part.split) > 0, "split", names, "one weight above 0")


def _check_route(part: Route) -> None:
    prefix = part.path_prefix
    plain = bool(_PATH.fullmatch(prefix)) and "?" not in prefix and "#" not in prefix
    _require(plain, "path_prefix", prefix, _PATH_MEND)
    _require(bool(_HOST.fullmatch(part.host)), "host", part.host, "a host's name in lower case, without a port")
    _require(
        bool(part.methods) and len(set(part.methods)) == len(part.methods),
        "methods",
        part.methods,
        "name at least one method, and each once",
    )
    for method in part.methods:
        _require(method in METHODS, "methods", method, f"one of {', '.join(METHODS)}")
    _check_position(part.position)


def _check_pool(part: Pool) -> None:
    path = part.health_path
    _require(bool(_PATH.fullmatch(path)) and "#" not in path, "health_path", path, _PATH_MEND)
    _require(0 <= part.connections <= HIGHEST_COUNT, "connections", part.connections, "a whole number from 0")
    if part.engine is not None:
        _check_engine(part.engine)
    _check_position(part.position)


def _check_engine(engine: Engine) -> None:
    for field, value in (
        ("slots", engine.slots),
        ("cache_tokens", engine.cache_tokens),
        ("tokens_per_event", engine.tokens_per_event),
    ):
        _require(1 <= value <= HIGHEST_COUNT, f"engine.{field}", value, "a whole number from 1")


def _check_caller_limits(part: CallerLimits) -> None:
    for field, count in (("head_bytes", part.head_bytes), ("body_bytes", part.body_bytes)):
        _require(1 <= count <= HIGHEST_COUNT, field, count, "a whole number of bytes from 1")
    for field, seconds in (("head_time", part.head_time), ("idle", part.idle)):
        _require(0 < seconds <= LONGEST_IDLE, field, seconds, f"seconds above 0 and up to {LONGEST_IDLE:.0f}")


def _check_tenant(part: Tenant) -> None:
    rate_mend = f"{part.unit} a second from 0 to {HIGHEST_RATE:.0f}"
    _require(0 <= part.paid_rate <= HIGHEST_RATE, "paid_rate", part.paid_rate, rate_mend)
    _require(0 <= part.burst <= HIGHEST_BURST, "burst", part.burst, f"seconds from 0 to {HIGHEST_BURST:.0f}")
    _require(0 <= part.plain_tokens <= HIGHEST_COUNT, "plain_tokens", part.plain_tokens, "a whole number from 0")
    _require(len(part.keys) <= KEYS_PER_TENANT, "keys", f"{len(part.keys)} keys", f"keep to {KEYS_PER_TENANT}")
    for digest in part.keys:
        mend = "64 hex digits: the SHA-256 that `wingwood caller-key new` prints"
        _require(bool(_KEY_DIGEST.fullmatch(digest)), "keys", digest, mend)
    _require(len(set(part.keys)) == len(part.keys), "keys", "a digest twice", "name each digest once")
    _require(len(set(part.services)) == len(part.services), "services", part.services, "name each service once")
    _check_position(part.position)

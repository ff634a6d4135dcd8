"""Checks the fields of each slice (docs/DESIGN.md section 5.2). Limits may only be relaxed, see section 5.4."""

from __future__ import annotations

import re

from .errors import BundleCheckError, BundleError
from .model import CallerLimits, Edition, Engine, Pool, PriorityClass, Rollout, Service, Tenant
from .route import Route

ParsedSlice = Service | Route | PriorityClass | Tenant | Rollout | Pool | CallerLimits | Edition

MAX_KEYS_PER_TENANT = 1_000
MAX_PAID_RATE_PER_S = 1e10
MAX_BURST_SECONDS = 1e6
MAX_RETRY_SHARE = 0.2
MAX_SPLIT_WEIGHT = 1_000_000_000
MAX_ATTEMPTS = 100
LEAST_URGENT = 9
"""Largest urgency number; urgency 0 is served first."""
MAX_DEADLINE_SECONDS = 3600.0
MAX_CHUNK_GAP_SECONDS = 600.0
MAX_IDLE_SECONDS = 86_400.0
MAX_COUNT = 2**53

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH = re.compile(r"/[!-~]{0,255}")
_HOST = re.compile(r"[a-z0-9._-]{0,253}|\[[0-9a-f:.]{2,45}\]")
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")

_PATH_REMEDY = "starts with /, without spaces, ? and #, up to 256 letters"
_SINGLE_SLICE_NAMES: dict[type[ParsedSlice], str] = {CallerLimits: "callers", Edition: "operator"}
"""Kinds with a single slice, and the name of that slice."""


class FieldChecker:
    """Checks the fields of one slice; reports the first invalid one."""

    def __init__(self, slice_name: str) -> None:
        self._slice_name = slice_name

    def require(self, is_valid: bool, field: str, value: object, remedy: str) -> None:
        """Raises ``BundleCheckError`` unless the field is valid; ``remedy`` says which values are."""
        if not is_valid:
            raise BundleCheckError(
                BundleError(code="field", slice=self._slice_name, field=field, value=str(value)[:80], remedy=remedy)
            )


def check_fields(slice_name: str, content: ParsedSlice) -> None:
    """Raises ``BundleCheckError`` for the first field of the slice that is not within its limits."""
    checker = FieldChecker(slice_name)
    _check_slice(checker, content)
    single_name = _SINGLE_SLICE_NAMES.get(type(content))
    checker.require(
        single_name is None or content.name == single_name,
        "name",
        content.name,
        f"must be {single_name}; there is one slice of this kind",
    )


def _check_slice(checker: FieldChecker, content: ParsedSlice) -> None:
    match content:
        case Service():
            _check_service(checker, content)
        case Route():
            _check_route(checker, content)
        case Pool():
            _check_pool(checker, content)
        case CallerLimits():
            _check_caller_limits(checker, content)
        case Edition():
            checker.require(0 <= content.number <= MAX_COUNT, "number", content.number, "a whole number from 0")
        case PriorityClass():
            checker.require(0 < content.weight <= 1000, "weight", content.weight, "above 0 and up to 1000")
            if content.urgency is not None:
                _check_urgency(checker, content.urgency)
        case Tenant():
            _check_tenant(checker, content)
        case Rollout():
            pass  # Checked by ``check_rollout`` when the slice is parsed.


def _check_urgency(checker: FieldChecker, urgency: int) -> None:
    checker.require(0 <= urgency <= LEAST_URGENT, "urgency", urgency, f"from 0 (first) to {LEAST_URGENT}")


def _check_position(checker: FieldChecker, position: int) -> None:
    checker.require(0 <= position <= MAX_COUNT, "position", position, "a whole number from 0")


def _check_service(checker: FieldChecker, content: Service) -> None:
    name_remedy = "1 to 64 of a-z 0-9 . _ -"
    checker.require(bool(_NAME.fullmatch(content.pool)), "pool", content.pool, name_remedy)
    checker.require(
        0 < content.deadline <= MAX_DEADLINE_SECONDS,
        "deadline",
        content.deadline,
        f"seconds above 0 and up to {MAX_DEADLINE_SECONDS:.0f}",
    )
    checker.require(
        0 < content.first_byte_timeout <= content.deadline,
        "first_byte_patience",
        content.first_byte_timeout,
        f"seconds above 0 and up to deadline {content.deadline}",
    )
    for field, value, most in (
        ("silence_patience", content.chunk_timeout, MAX_CHUNK_GAP_SECONDS),
        ("latency_objective", content.latency_objective, MAX_DEADLINE_SECONDS),
        ("longest_pause", content.max_chunk_gap, MAX_CHUNK_GAP_SECONDS),
    ):
        checker.require(value is None or 0 < value <= most, field, value, f"seconds above 0 and up to {most:.0f}")
    checker.require(
        0 <= content.retry_share <= MAX_RETRY_SHARE,
        "retry_share",
        content.retry_share,
        f"a share from 0 to {MAX_RETRY_SHARE}",
    )
    checker.require(1 <= content.attempts <= MAX_ATTEMPTS, "attempts", content.attempts, f"from 1 to {MAX_ATTEMPTS}")
    _check_urgency(checker, content.urgency)
    for share in content.split:
        checker.require(bool(_NAME.fullmatch(share.pool)), "split", share.pool, name_remedy)
        checker.require(
            0 <= share.weight <= MAX_SPLIT_WEIGHT, "split", share.weight, "weights are whole numbers from 0"
        )
    names = [share.pool for share in content.split]
    checker.require(len(set(names)) == len(names), "split", names, "name each pool once")
    checker.require(
        not content.split or sum(share.weight for share in content.split) > 0, "split", names, "one weight above 0"
    )


def _check_route(checker: FieldChecker, content: Route) -> None:
    prefix = content.path_prefix
    is_plain = bool(_PATH.fullmatch(prefix)) and "?" not in prefix and "#" not in prefix
    checker.require(is_plain, "path_prefix", prefix, _PATH_REMEDY)
    checker.require(
        bool(_HOST.fullmatch(content.host)), "host", content.host, "a host's name in lower case, without a port"
    )
    checker.require(
        bool(content.methods) and len(set(content.methods)) == len(content.methods),
        "methods",
        content.methods,
        "name at least one method, and each once",
    )
    for method in content.methods:
        checker.require(method in METHODS, "methods", method, f"one of {', '.join(METHODS)}")
    _check_position(checker, content.position)


def _check_pool(checker: FieldChecker, content: Pool) -> None:
    path = content.health_path
    checker.require(bool(_PATH.fullmatch(path)) and "#" not in path, "health_path", path, _PATH_REMEDY)
    checker.require(0 <= content.connections <= MAX_COUNT, "connections", content.connections, "a whole number from 0")
    if content.engine is not None:
        _check_engine(checker, content.engine)
    _check_position(checker, content.position)


def _check_engine(checker: FieldChecker, engine: Engine) -> None:
    for field, value in (
        ("slots", engine.slots),
        ("cache_tokens", engine.cache_tokens),
        ("tokens_per_event", engine.tokens_per_event),
    ):
        checker.require(1 <= value <= MAX_COUNT, f"engine.{field}", value, "a whole number from 1")


def _check_caller_limits(checker: FieldChecker, content: CallerLimits) -> None:
    for field, count in (("head_bytes", content.head_bytes), ("body_bytes", content.body_bytes)):
        checker.require(1 <= count <= MAX_COUNT, field, count, "a whole number of bytes from 1")
    for field, seconds in (("head_time", content.head_time), ("idle", content.idle)):
        checker.require(
            0 < seconds <= MAX_IDLE_SECONDS, field, seconds, f"seconds above 0 and up to {MAX_IDLE_SECONDS:.0f}"
        )


def _check_tenant(checker: FieldChecker, content: Tenant) -> None:
    rate_remedy = f"{content.unit} a second from 0 to {MAX_PAID_RATE_PER_S:.0f}"
    checker.require(0 <= content.paid_rate <= MAX_PAID_RATE_PER_S, "paid_rate", content.paid_rate, rate_remedy)
    checker.require(
        0 <= content.burst <= MAX_BURST_SECONDS, "burst", content.burst, f"seconds from 0 to {MAX_BURST_SECONDS:.0f}"
    )
    checker.require(
        0 <= content.plain_tokens <= MAX_COUNT, "plain_tokens", content.plain_tokens, "a whole number from 0"
    )
    checker.require(
        len(content.keys) <= MAX_KEYS_PER_TENANT, "keys", f"{len(content.keys)} keys", f"keep to {MAX_KEYS_PER_TENANT}"
    )
    for digest in content.keys:
        remedy = "64 hex digits: the SHA-256 that `wingwood caller-key new` prints"
        checker.require(bool(_KEY_DIGEST.fullmatch(digest)), "keys", digest, remedy)
    checker.require(len(set(content.keys)) == len(content.keys), "keys", "a digest twice", "name each digest once")
    checker.require(
        len(set(content.services)) == len(content.services), "services", content.services, "name each service once"
    )
    _check_position(checker, content.position)

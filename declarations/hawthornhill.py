"""Declares the services of one team and prints the document that `hawthornctl apply -` reads.

This module has no dependencies and needs Python 3.8 or newer. An invalid declaration raises
DeclarationError, which names the field.

    from hawthornhill import Declaration, Service

    print(
        Declaration("depots")
        .service(Service("zaloga", priority=0, timeout_ms=1_000))
        .service(Service("najem", priority=1).never_repeat("POST", "/"))
        .to_json(),
        end="",
    )
"""

import json
import re

__all__ = ["Declaration", "DeclarationError", "Service"]

_NAME = re.compile(r"[a-z0-9.-]{1,63}\Z")
_METHOD = re.compile(r"([A-Z]+|\*)\Z")
_MAX_SERVICES = 256
_MAX_RULES = 64

# Name, default, minimum and maximum of each numeric setting, in output order.
_NUMBERS = (
    ("timeout_ms", 2_000, 1, 120_000),
    ("retry_percent", 10, 0, 100),
    ("hedge_percent", 0, 0, 20),
    ("cold_concurrency", 1, 1, 64),
    ("probes_per_minute", 12, 0, 600),
)


class DeclarationError(ValueError):
    """Raised for an invalid declaration; the attribute `field` is the path of the invalid field."""

    def __init__(self, field, reason):
        super().__init__("field {}: {}".format(field, reason))
        self.field = field


class Service:
    """A service: its name, its priority from 0 (highest) to 9 (lowest), and optional settings.

    timeout_ms: timeout of a request in milliseconds, 1 to 120000.
    retry_percent: maximum retries, as a percentage of requests, 0 to 100.
    hedge_percent: maximum hedged requests, as a percentage of requests, 0 to 20.
    cold_concurrency: maximum number of concurrent requests to a cold server, 1 to 64.
    probes_per_minute: maximum probes per minute for each server, 0 to 600.
    """

    def __init__(self, name, priority, **numbers):
        self._name = name
        self._priority = priority
        self._numbers = numbers
        self._rules = []

    def never_repeat(self, method, path):
        """Forbids repeating requests with this method ("*" for all methods) and path prefix."""
        self._rules.append((method, path))
        return self

    def _build(self, field):
        _check_name(field + ".name", self._name)
        _check_number(field + ".priority", self._priority, 0, 9)
        for name in self._numbers:
            if name not in [number[0] for number in _NUMBERS]:
                raise DeclarationError("{}.{}".format(field, name), "is not a known setting")
        if len(self._rules) > _MAX_RULES:
            raise DeclarationError(field + ".non_repeatable", "has more than %d rules" % _MAX_RULES)
        rules = [
            _build_rule("{}.non_repeatable[{}]".format(field, index), *rule)
            for index, rule in enumerate(self._rules)
        ]
        built = {"name": self._name, "priority": self._priority, "non_repeatable": rules}
        for name, default, low, high in _NUMBERS:
            value = self._numbers.get(name, default)
            _check_number("{}.{}".format(field, name), value, low, high)
            built[name] = value
        return built


class Declaration:
    """The declaration of all services of one team."""

    def __init__(self, team):
        self._team = team
        self._services = []

    def service(self, service):
        """Adds a service and returns the declaration."""
        self._services.append(service)
        return self

    def build(self):
        """Checks the declaration and returns the document as a dictionary."""
        _check_name("team", self._team)
        if len(self._services) > _MAX_SERVICES:
            raise DeclarationError("services", "has more than %d services" % _MAX_SERVICES)
        services = []
        for index, service in enumerate(self._services):
            field = "services[{}]".format(index)
            built = service._build(field)
            if any(other["name"] == built["name"] for other in services):
                raise DeclarationError(field + ".name", built["name"] + " is declared twice")
            services.append(built)
        return {"team": self._team, "services": services}

    def to_json(self):
        """Checks the declaration and returns the document as JSON text."""
        return json.dumps(self.build(), indent=2) + "\n"


def _build_rule(field, method, path):
    if not isinstance(method, str) or not _METHOD.match(method):
        reason = "{!r} is neither an HTTP method in upper case nor '*'".format(method)
        raise DeclarationError(field + ".method", reason)
    if not isinstance(path, str) or not path.startswith("/"):
        raise DeclarationError(field + ".path", "{!r} does not start with '/'".format(path))
    return {"method": method, "path": path}


def _check_name(field, name):
    if not isinstance(name, str) or not _NAME.match(name):
        reason = "{!r} must have 1 to 63 characters of a-z, 0-9, '-' and '.'".format(name)
        raise DeclarationError(field, reason)


def _check_number(field, value, low, high):
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        reason = "{!r} is not an integer from {} to {}".format(value, low, high)
        raise DeclarationError(field, reason)

"""What the settings must contain before a relay may start, field by field. A missing field has the default named
here or is refused; nothing is guessed from another deployment's values.
"""

from __future__ import annotations

from typing import NamedTuple

from lanelead.protocols.feeds import MessageError
from lanelead.runtime.parameter_reader import ParameterError, ParameterReader


class Minimum(NamedTuple):
    """The least value of a field, and whether the field may have just that."""

    value: float
    inclusive: bool


AT_LEAST_0 = Minimum(0.0, True)
AT_LEAST_1 = Minimum(1.0, True)
OVER_0 = Minimum(0.0, False)

# By field under `requestClasses.N.` for each class, under `accounts.N.` for each tenant, and by path.
CLASS_MINIMUMS = {
    "aimMs": OVER_0,
    "deadlineMs": OVER_0,
    "credit": AT_LEAST_0,
    "lateWorth": AT_LEAST_0,
    "windowMs": AT_LEAST_0,
    "aimStretch": AT_LEAST_0,
}
TENANT_MINIMUMS = {"quotaPerS": AT_LEAST_0, "share": AT_LEAST_0}
MINIMUMS = {
    "instances": AT_LEAST_1,
    "me": AT_LEAST_0,
    "tickMs": AT_LEAST_0,
    "allowed.attemptsCap": AT_LEAST_1,
    "allowed.openCap": AT_LEAST_1,
    "allowed.connectTimeoutMs": OVER_0,
    "allowed.connIdleMs": AT_LEAST_0,
    "allowed.maxRetryAfterMs": AT_LEAST_0,
    "contract.answerSlackMs": AT_LEAST_0,
    "contract.coldFrom": AT_LEAST_0,
    "contract.coldMs": AT_LEAST_0,
    "contract.fallMultiple": OVER_0,
    "contract.fallMs": AT_LEAST_0,
    "familyInfo.apiTimeoutMs": OVER_0,
    "familyInfo.countedOverMs": OVER_0,
    "familyInfo.voteTtlMs": OVER_0,
}
# Without these a relay could do nothing, or do harm; docs/crossings.md names the defaults of all others.
REQUIRED_CLASS_FIELDS = ("aimMs", "deadlineMs", "repeat", "name")
REQUIRED_FIELDS = (
    "instances",
    "allowed.connectTimeoutMs",
    "allowed.openCap",
    "familyInfo.apiTimeoutMs",
    "familyInfo.countedOverMs",
    "familyInfo.voteTtlMs",
)


def check(parameters: ParameterReader) -> None:
    """Raises MessageError, which names the first wrong field and what to do."""
    try:
        _check_counts_and_minimums(parameters)
        _check_relations(parameters)
        _read_all(parameters)
    except ParameterError as error:
        raise MessageError(f"settings: {error}") from None


def _check_counts_and_minimums(parameters: ParameterReader) -> None:
    if not parameters.integer("requestClasses.count"):
        raise MessageError("settings.requestClasses: none; name at least one class")
    for path in REQUIRED_FIELDS:
        _check_present(parameters, path)
    for path, minimum in MINIMUMS.items():
        _check_minimum(parameters, path, minimum)
    names: set[str] = set()
    for number in range(parameters.integer("requestClasses.count")):
        _check_class(parameters, f"requestClasses.{number}.", names)
    for number in range(parameters.integer("accounts.count")):
        for field, minimum in TENANT_MINIMUMS.items():
            _check_minimum(parameters, f"accounts.{number}.{field}", minimum)


def _check_class(parameters: ParameterReader, prefix: str, names: set[str]) -> None:
    """Checks one class; `names` are those of the classes before it."""
    for field in REQUIRED_CLASS_FIELDS:
        _check_present(parameters, prefix + field)
    for field, minimum in CLASS_MINIMUMS.items():
        _check_minimum(parameters, prefix + field, minimum)
    name = parameters.text(prefix + "name")
    if name in names:
        raise MessageError(f"settings.{prefix}name: {name} is there twice; give each class a name of its own")
    names.add(name)


def _check_relations(parameters: ParameterReader) -> None:
    if parameters.number("me") >= parameters.number("instances"):
        raise MessageError("settings.me: must be under settings.instances; number the relays from 0")
    shares = parameters.numbers("familyInfo.shares")
    limits = parameters.numbers("familyInfo.mostShares")
    if len(shares) != len(limits) or any(not 0 <= share <= 1 for share in (*shares, *limits)):
        raise MessageError("settings.familyInfo.mostShares: as many as shares, each from 0 to 1")


def _read_all(parameters: ParameterReader) -> None:
    """Reads all records once, for the errors that this raises."""
    parameters.request_classes()
    parameters.tenants()
    parameters.service_limits()
    parameters.canary_limits()
    parameters.voting_rules()
    parameters.prices()


def _check_present(parameters: ParameterReader, path: str) -> None:
    if parameters.text(path) == "-":
        raise MessageError(f"settings.{path}: missing; name it, there is no default that is safe")


def _check_minimum(parameters: ParameterReader, path: str, minimum: Minimum) -> None:
    least, inclusive = minimum
    try:
        value = parameters.number(path, least if inclusive else 1.0)
    except ParameterError as error:
        raise MessageError(f"settings.{path}: {error}") from None
    if value < least or (value == least and not inclusive):
        raise MessageError(f"settings.{path}: {value:g}; must be {'at least' if inclusive else 'over'} {least:g}")

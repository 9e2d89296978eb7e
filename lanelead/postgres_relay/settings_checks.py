"""Checks the settings in a relay's file, field by field, before they are used.

A missing field either has a default or is an error; no value is taken over from another deployment.
"""

from __future__ import annotations

from typing import NamedTuple

from lanelead.protocols.feeds import MessageError
from lanelead.runtime.parameter_reader import ParameterError, ParameterReader


class Minimum(NamedTuple):
    """The lower bound of a field, and whether the bound itself is allowed."""

    value: float
    inclusive: bool


AT_LEAST_0 = Minimum(0.0, True)
AT_LEAST_1 = Minimum(1.0, True)
OVER_0 = Minimum(0.0, False)

# By field of each class, under `requestClasses.N.`.
CLASS_MINIMUMS = {
    "aimMs": OVER_0,
    "deadlineMs": OVER_0,
    "credit": AT_LEAST_0,
    "lateWorth": AT_LEAST_0,
    "windowMs": AT_LEAST_0,
    "aimStretch": AT_LEAST_0,
}
# By field of each tenant, under `accounts.N.`.
TENANT_MINIMUMS = {"quotaPerS": AT_LEAST_0, "share": AT_LEAST_0}
# By path of the other fields.
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
# Fields without a safe default: without them a relay could not work, or would do damage. docs/crossings.md lists the
# defaults of all other fields.
REQUIRED_CLASS_FIELDS = ("aimMs", "deadlineMs", "repeat", "name")
REQUIRED_FIELDS = (
    "instances",
    "allowed.connectTimeoutMs",
    "allowed.openCap",
    "familyInfo.apiTimeoutMs",
    "familyInfo.countedOverMs",
    "familyInfo.voteTtlMs",
)


def check_settings(parameters: ParameterReader) -> None:
    """Checks all settings. Raises MessageError, which names the first invalid field and what is expected."""
    try:
        _check_counts_and_minimums(parameters)
        _check_relations(parameters)
        _read_all(parameters)
    except ParameterError as error:
        raise MessageError(f"settings: {error}") from None


def _check_counts_and_minimums(parameters: ParameterReader) -> None:
    if not parameters.integer("requestClasses.count"):
        raise MessageError("settings.requestClasses: empty; expected at least one class")
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
    """Checks one class, and adds its name to `names`, which holds those of the classes before it."""
    for field in REQUIRED_CLASS_FIELDS:
        _check_present(parameters, prefix + field)
    for field, minimum in CLASS_MINIMUMS.items():
        _check_minimum(parameters, prefix + field, minimum)
    name = parameters.text(prefix + "name")
    if name in names:
        raise MessageError(f"settings.{prefix}name: {name} is the name of an earlier class; expected a unique name")
    names.add(name)


def _check_relations(parameters: ParameterReader) -> None:
    if parameters.number("me") >= parameters.number("instances"):
        raise MessageError("settings.me: expected less than settings.instances; relays are numbered from 0")
    shares = parameters.numbers("familyInfo.shares")
    limits = parameters.numbers("familyInfo.mostShares")
    if len(shares) != len(limits) or any(not 0 <= share <= 1 for share in (*shares, *limits)):
        raise MessageError(
            "settings.familyInfo.mostShares: expected as many values as in shares, each from 0 to 1 in both"
        )


def _read_all(parameters: ParameterReader) -> None:
    """Reads each group of parameters once: invalid values raise ParameterError."""
    parameters.request_classes()
    parameters.tenants()
    parameters.service_limits()
    parameters.canary_limits()
    parameters.voting_rules()
    parameters.prices()


def _check_present(parameters: ParameterReader, path: str) -> None:
    if parameters.text(path) == "-":
        raise MessageError(f"settings.{path}: missing; the field is required, since no default is safe")


def _check_minimum(parameters: ParameterReader, path: str, minimum: Minimum) -> None:
    bound, inclusive = minimum
    try:
        value = parameters.number(path, bound if inclusive else 1.0)  # an absent field passes
    except ParameterError as error:
        raise MessageError(f"settings.{path}: {error}") from None
    if value < bound or (value == bound and not inclusive):
        raise MessageError(f"settings.{path}: {value:g}; expected {'at least' if inclusive else 'more than'} {bound:g}")

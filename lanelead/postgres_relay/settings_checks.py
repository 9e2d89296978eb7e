"""What the settings must say before a relay may start, field by field. What is missing has the default named
here or is refused; nothing is guessed from another deployment's figures."""

from __future__ import annotations

from lanelead.protocols.feeds import MessageError
from lanelead.runtime.parameter_reader import ParameterError as Unread
from lanelead.runtime.parameter_reader import ParameterReader

# Fields by path, with the least that each may be, and whether it may be just that. Under `requestClasses.N.`
# and `accounts.N.` for each class and each account.
CLASS = {
    "aimMs": (0.0, False),
    "deadlineMs": (0.0, False),
    "credit": (0.0, True),
    "lateWorth": (0.0, True),
    "windowMs": (0.0, True),
    "aimStretch": (0.0, True),
}
ACCOUNT = {"quotaPerS": (0.0, True), "share": (0.0, True)}
ONCE = {
    "instances": (1.0, True),
    "me": (0.0, True),
    "tickMs": (0.0, True),
    "allowed.attemptsCap": (1.0, True),
    "allowed.openCap": (1.0, True),
    "allowed.connectTimeoutMs": (0.0, False),
    "allowed.connIdleMs": (0.0, True),
    "allowed.maxRetryAfterMs": (0.0, True),
    "contract.answerSlackMs": (0.0, True),
    "contract.coldFrom": (0.0, True),
    "contract.coldMs": (0.0, True),
    "contract.fallMultiple": (0.0, False),
    "contract.fallMs": (0.0, True),
    "familyInfo.apiTimeoutMs": (0.0, False),
    "familyInfo.countedOverMs": (0.0, False),
    "familyInfo.voteTtlMs": (0.0, False),
}
# Without these a relay could do nothing, or do harm; docs/crossings.md names the defaults of all others.
NEEDED = ("aimMs", "deadlineMs", "repeat", "name")
NEEDED_ONCE = (
    "instances",
    "allowed.connectTimeoutMs",
    "allowed.openCap",
    "familyInfo.apiTimeoutMs",
    "familyInfo.countedOverMs",
    "familyInfo.voteTtlMs",
)


def check(opening: ParameterReader) -> None:
    """Raises Malformed, which names the field and what to do."""
    try:
        _check(opening)
    except Unread as fault:
        raise MessageError(f"settings: {fault}") from None


def _check(opening: ParameterReader) -> None:
    if not opening.integer("requestClasses.count"):
        raise MessageError("settings.requestClasses: none; name at least one class")
    for path in NEEDED_ONCE:
        _needed(opening, path)
    for path, (least, itself) in ONCE.items():
        _least(opening, path, least, itself)
    names = set()
    for number in range(opening.integer("requestClasses.count")):
        at = f"requestClasses.{number}."
        for field in NEEDED:
            _needed(opening, at + field)
        for field, (least, itself) in CLASS.items():
            _least(opening, at + field, least, itself)
        if (name := opening.text(at + "name")) in names:
            raise MessageError(f"settings.{at}name: {name} is there twice; give each class a name of its own")
        names.add(name)
    for number in range(opening.integer("accounts.count")):
        for field, (least, itself) in ACCOUNT.items():
            _least(opening, f"accounts.{number}.{field}", least, itself)
    if opening.number("me") >= opening.number("instances"):
        raise MessageError("settings.me: must be under settings.instances; number the relays from 0")
    shares, caps = opening.numbers("familyInfo.shares"), opening.numbers("familyInfo.mostShares")
    if len(shares) != len(caps) or any(not 0 <= share <= 1 for share in (*shares, *caps)):
        raise MessageError("settings.familyInfo.mostShares: as many as shares, each from 0 to 1")
    for read in (
        opening.request_classes,
        opening.tenants,
        opening.service_limits,
        opening.canary_limits,
        opening.voting_rules,
        opening.prices,
    ):
        read()


def _needed(opening: ParameterReader, path: str) -> None:
    if opening.text(path) == "-":
        raise MessageError(f"settings.{path}: missing; name it, there is no default that is safe")


def _least(opening: ParameterReader, path: str, least: float, itself: bool) -> None:
    try:
        value = opening.number(path, least if itself else 1.0)
    except Unread as fault:
        raise MessageError(f"settings.{path}: {fault}") from None
    if value < least or (value == least and not itself):
        raise MessageError(f"settings.{path}: {value:g}; must be {'at least' if itself else 'over'} {least:g}")

"""Derives what the decisions need from a client's HTTP request: its class, tenant, key, deadline and id."""

from __future__ import annotations

import itertools
import re
from collections.abc import Sequence

import netaddr

from lanelead.decisions.interface import Idempotency, RequestClass, Tenant, Ticks
from lanelead.http.requests import HttpRequest
from lanelead.runtime.driver import DecisionDriver
from lanelead.settings.service_settings import ServiceSettings, ticks

REQUEST_ID = re.compile(rb"[!-~]{1,128}\Z")
MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,3})?\Z")
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"


class RequestRoutingError(Exception):
    """The request cannot be routed; the client gets a response with `status` and `text`."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class RequestRouter:
    """Reads a request's target and headers according to the settings. One instance serves all requests."""

    def __init__(self, service: ServiceSettings, driver: DecisionDriver, tenants: Sequence[Tenant]) -> None:
        names = service.headers
        self._tenant_header = names.member.lower().encode()
        self._key_header = names.key.lower().encode()
        self._time_left_header = names.left.lower().encode()
        self._id_header = names.lookup.lower().encode()
        rows = [
            (row.prefix.encode(), frozenset(row.methods), driver.request_classes[row.name]) for row in service.lanes
        ]
        rows.sort(key=lambda row: -len(row[0]))  # the longest matching prefix takes precedence
        self._classes = rows
        self._deadline_margin = ticks(service.duties.early_ms)
        self._tenants = {tenant.name: tenant for tenant in tenants}  # the same objects as in the decisions
        networks = [(netaddr.IPNetwork(text), row.name) for row in service.members for text in row.networks]
        networks.sort(key=lambda pair: -pair[0].prefixlen)
        self._networks = networks
        self._sequence = itertools.count(1)

    def request_class(self, request: HttpRequest) -> RequestClass:
        """Returns the class with the request's method and the longest matching prefix. Raises RequestRoutingError."""
        path = request.target.partition(b"?")[0]
        path_known = False
        for prefix, methods, request_class in self._classes:
            if not path.startswith(prefix):
                continue
            if request.method not in methods:
                path_known = True
                continue
            return request_class
        if path_known:
            raise RequestRoutingError(405, "no class takes this method here")
        raise RequestRoutingError(404, "no such class")

    def check_idempotency_key(self, request: HttpRequest, request_class: RequestClass) -> None:
        """Raises RequestRoutingError if a request of a keyed class has no idempotency key."""
        if request_class.idempotency is Idempotency.KEYED and request.header(IDEMPOTENCY_KEY_HEADER) is None:
            raise RequestRoutingError(400, "this class takes an Idempotency-Key")

    def tenant_at(self, address: str) -> Tenant | None:
        """Returns the tenant of the narrowest network that contains a client's IP address, or None."""
        if not self._networks:
            return None
        ip = netaddr.IPAddress(address)
        return next((self._tenants[name] for network, name in self._networks if ip in network), None)

    def tenant(self, request: HttpRequest, by_address: Tenant | None) -> Tenant | None:
        """Returns the tenant that the request's header names; `by_address` if it names none or an unknown one."""
        raw = request.header(self._tenant_header)
        return by_address if raw is None else self._tenants.get(raw.decode("latin-1"), by_address)

    def key(self, request: HttpRequest) -> str | None:
        """Returns the value of the request's key header, or None. During a canary, a key can be bound to one build."""
        raw = request.header(self._key_header)
        return None if raw is None else raw.decode("latin-1")

    def time_left(self, request: HttpRequest, request_class: RequestClass) -> Ticks:
        """Returns the ticks until the final response is due.

        That is the class's timeout, or the time in the client's header if it is shorter, less a margin for the
        response's way back to the client. Raises RequestRoutingError if the header is not a number of milliseconds.
        """
        longest = request_class.timeout
        raw = request.header(self._time_left_header)
        if raw is not None:
            if not MILLISECONDS.match(raw):
                raise RequestRoutingError(400, f"{self._time_left_header.decode()} takes milliseconds, as digits")
            longest = min(longest, int(float(raw) * 10))
        return longest - self._deadline_margin

    def request_id(self, request: HttpRequest) -> str:
        """Returns the id in the request's header if it is valid, or else a generated one."""
        raw = request.header(self._id_header)
        if raw is None or not REQUEST_ID.match(raw):
            return f"relay-{next(self._sequence)}"
        return raw.decode("latin-1")

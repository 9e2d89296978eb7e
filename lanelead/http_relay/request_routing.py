"""What a client's HTTP request means to the decisions: its class, tenant, idempotency key, deadline and id."""

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
    """No attempt is made for this request: it is answered with `status` and `text`."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class RequestRouter:
    """Reads what the settings name in a request's target and headers. Made once from the settings."""

    def __init__(self, service: ServiceSettings, driver: DecisionDriver, tenants: Sequence[Tenant]) -> None:
        names = service.headers
        self._tenant_header = names.member.lower().encode()
        self._key_header = names.key.lower().encode()
        self._time_left_header = names.left.lower().encode()
        self._id_header = names.lookup.lower().encode()
        rows = [
            (row.prefix.encode(), frozenset(row.methods), driver.request_classes[row.name]) for row in service.lanes
        ]
        rows.sort(key=lambda row: -len(row[0]))  # the longest prefix that fits holds
        self._classes = rows
        self._early_ticks = ticks(service.duties.early_ms)
        self._tenants = {tenant.name: tenant for tenant in tenants}  # the decisions know these very objects
        networks = [(netaddr.IPNetwork(text), row.name) for row in service.members for text in row.networks]
        networks.sort(key=lambda pair: -pair[0].prefixlen)
        self._networks = networks
        self._sequence = itertools.count(1)

    def request_class(self, request: HttpRequest) -> RequestClass:
        """The class of the longest prefix that the target has. Raises RequestRoutingError where there is none."""
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
        """Raises RequestRoutingError where a class of keyed requests gets one without a key."""
        if request_class.idempotency is Idempotency.KEYED and request.header(IDEMPOTENCY_KEY_HEADER) is None:
            raise RequestRoutingError(400, "this class takes an Idempotency-Key")

    def tenant_at(self, address: str) -> Tenant | None:
        """The tenant of a client's IP address, by the narrowest network that holds it."""
        if not self._networks:
            return None
        ip = netaddr.IPAddress(address)
        return next((self._tenants[name] for network, name in self._networks if ip in network), None)

    def tenant(self, request: HttpRequest, by_address: Tenant | None) -> Tenant | None:
        """The tenant that the request names, or else that of its client's address."""
        raw = request.header(self._tenant_header)
        return by_address if raw is None else self._tenants.get(raw.decode("latin-1"), by_address)

    def key(self, request: HttpRequest) -> str | None:
        """The idempotency or routing key that the request names."""
        raw = request.header(self._key_header)
        return None if raw is None else raw.decode("latin-1")

    def time_left(self, request: HttpRequest, request_class: RequestClass) -> Ticks:
        """The ticks to the final answer: the client's, less what the way back may take.

        Raises RequestRoutingError where the header is no number of milliseconds.
        """
        longest = request_class.timeout
        raw = request.header(self._time_left_header)
        if raw is not None:
            if not MILLISECONDS.match(raw):
                raise RequestRoutingError(400, f"{self._time_left_header.decode()} takes milliseconds, as digits")
            longest = min(longest, int(float(raw) * 10))
        return longest - self._early_ticks

    def request_id(self, request: HttpRequest) -> str:
        """The id that the client gave, or one of this relay's own."""
        raw = request.header(self._id_header)
        if raw is None or not REQUEST_ID.match(raw):
            return f"relay-{next(self._sequence)}"
        return raw.decode("latin-1")

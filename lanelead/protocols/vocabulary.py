"""Maps the words of the protocols, settings and stored data to the terms of the code.

The strings are part of protocols, settings and stored data and must not change. docs/ARCHITECTURE.md lists the terms.
"""

from __future__ import annotations

from lanelead.decisions.interface import (
    AttemptOutcome,
    DeduplicationScope,
    EndpointStatus,
    Idempotency,
    PromotionControl,
    RolloutPhase,
    Verdict,
)

ROLLOUT_PHASES = {
    "trial": RolloutPhase.CANARY,
    "reverting": RolloutPhase.ROLLING_BACK,
    "released": RolloutPhase.PROMOTED,
    "withdrawn": RolloutPhase.ROLLED_BACK,
}
ENDPOINT_STATUSES = {
    "ready": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.REMOVED,
}
VERDICT_WORDS = {
    Verdict.ABSTAIN: "none",
    Verdict.PROMOTE: "on",
    Verdict.HOLD: "hold",
    Verdict.ROLL_BACK: "back",
}
VOTE_OUTCOMES = {
    "done": AttemptOutcome.SUCCEEDED,
    "moot": AttemptOutcome.NOT_SENT,
    "overloaded": AttemptOutcome.REJECTED,
    "failed": AttemptOutcome.ERROR,
}
IDEMPOTENCY_KINDS = {
    "pure": Idempotency.IDEMPOTENT,
    "receipted": Idempotency.KEYED,
    "effectful": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
PROMOTION_CONTROLS = {
    "first voice": PromotionControl.FIRST_VOTE,
    "by count": PromotionControl.VOTE_COUNT,
    "automatic": PromotionControl.TIMER,
}

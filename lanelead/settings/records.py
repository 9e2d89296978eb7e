"""Earlier names of the settings' records, until the packages that use them follow."""

from __future__ import annotations

from lanelead.settings.experiment_settings import ExperimentPlan as Experiment
from lanelead.settings.experiment_settings import Factor as Factor
from lanelead.settings.experiment_settings import FactorLevel as Level
from lanelead.settings.experiment_settings import SeedCounts as Seeds
from lanelead.settings.experiment_settings import StopRule as StopAt
from lanelead.settings.migration_settings import BatchSettings as Batch
from lanelead.settings.migration_settings import BuildRequirements as Demands
from lanelead.settings.migration_settings import MigrationPlan as Steps
from lanelead.settings.migration_settings import MigrationStep as Step
from lanelead.settings.migration_settings import StageNeed as Need
from lanelead.settings.relay_settings import NO_PRICES as TARIFF
from lanelead.settings.relay_settings import FeedSettings as Feed
from lanelead.settings.relay_settings import MembershipSettings as Circle
from lanelead.settings.relay_settings import PeerAddress as Peer
from lanelead.settings.relay_settings import PeerSettings as Peers
from lanelead.settings.relay_settings import RegionSettings as Region
from lanelead.settings.relay_settings import RelaySettings as Relay
from lanelead.settings.relay_settings import SpilloverSettings as Spill
from lanelead.settings.relay_settings import position_of as place
from lanelead.settings.scenario_settings import BuildOffer as Offer
from lanelead.settings.scenario_settings import ClientSettings as Clients
from lanelead.settings.scenario_settings import DiscoverySettings as Roster
from lanelead.settings.scenario_settings import EndpointSettings as Units
from lanelead.settings.scenario_settings import MigrationRun as StepsRun
from lanelead.settings.scenario_settings import MigrationScenario as StepsOfDay
from lanelead.settings.scenario_settings import RolloutPlatformSettings as Desk
from lanelead.settings.scenario_settings import Scenario as Day
from lanelead.settings.scenario_settings import ScenarioEvent as Event
from lanelead.settings.scenario_settings import SpilloverOverride as Overflow
from lanelead.settings.scenario_settings import WorkSettings as Work
from lanelead.settings.service_settings import Address as Address
from lanelead.settings.service_settings import CanarySettings as Trial
from lanelead.settings.service_settings import HeaderNames as Headers
from lanelead.settings.service_settings import LimitsSettings as Duties
from lanelead.settings.service_settings import QuotaSettings as Allowance
from lanelead.settings.service_settings import RequestClassSettings as Lane
from lanelead.settings.service_settings import ServiceSettings as Service
from lanelead.settings.service_settings import TenantSettings as Member
from lanelead.settings.service_settings import VotingSettings as Poll
from lanelead.settings.service_settings import ticks as ticks

__all__ = [
    "TARIFF",
    "Address",
    "Allowance",
    "Batch",
    "Circle",
    "Clients",
    "Day",
    "Demands",
    "Desk",
    "Duties",
    "Event",
    "Experiment",
    "Factor",
    "Feed",
    "Headers",
    "Lane",
    "Level",
    "Member",
    "Need",
    "Offer",
    "Overflow",
    "Peer",
    "Peers",
    "Poll",
    "Region",
    "Relay",
    "Roster",
    "Seeds",
    "Service",
    "Spill",
    "Step",
    "Steps",
    "StepsOfDay",
    "StepsRun",
    "StopAt",
    "Trial",
    "Units",
    "Work",
    "place",
    "ticks",
]

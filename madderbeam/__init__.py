"""madderbeam: a message courier that hands messages on to destinations outside its control."""

from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.settings import Settings

__all__ = ["DeliveryEngine", "Settings"]

"""madderbeam: a message courier that delivers messages to destinations outside its control."""

from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.settings import Settings

__all__ = ["DeliveryEngine", "Settings"]

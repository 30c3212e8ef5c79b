"""hopmill: the decisions of a relay that hands messages on to destinations outside its control."""

from hopmill.brain import Courier
from hopmill.interface import Settings

__all__ = ["Courier", "Settings"]

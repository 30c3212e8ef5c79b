"""SWIM membership: members, their incarnations, failure suspicion and gossip. Pure decisions without I/O."""

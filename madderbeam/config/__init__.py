"""What a courier is told: where it listens, its limits, its settings."""

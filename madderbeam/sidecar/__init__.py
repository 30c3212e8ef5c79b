"""Process supervision of the sidecar couriers of one estate, and the demo."""

"""State that the couriers of one site share: findings about partners, and leases on site-wide limits.

No I/O.
"""

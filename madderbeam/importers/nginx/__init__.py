"""Imports nginx upstream and location blocks as partners, pools and routes; judges each directive."""

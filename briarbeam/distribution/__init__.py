"""Distributes weights from the origin to the engines, without a coordinator."""

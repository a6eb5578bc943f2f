"""Weights on their way from the origin to the engines, without a coordinator."""

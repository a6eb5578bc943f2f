"""Types of fields that more than one kind of settings file has."""

from typing import Annotated

from pydantic import BeforeValidator

from .kernel.errors import SettingsError
from .kernel.network import Address


def _to_address(value):
    if isinstance(value, Address):
        return value
    try:
        return Address.parse(value)
    except (SettingsError, AttributeError) as error:
        raise ValueError(f"expected IP:PORT as text, got {value!r}") from error


AddressField = Annotated[Address, BeforeValidator(_to_address)]

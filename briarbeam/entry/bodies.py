"""Models that validate the request bodies of callers."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, Field, ValidationError

from ..kernel.errors import InvalidRequestError

MaxTokens = Annotated[int, Field(ge=1, le=100_000)]


class _CommonFields(BaseModel):
    model: str
    max_tokens: MaxTokens = 16
    stream: bool = False


class _CompletionBody(_CommonFields):
    prompt: str


class _Message(BaseModel):
    role: str
    content: str


class _ChatBody(_CommonFields):
    messages: list[_Message] = Field(min_length=1)


@dataclass(frozen=True)
class Completion:
    """A request for generated text, either a completion or a chat."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool

    @classmethod
    def parse(cls, raw, chat):
        """Return the request in the body `raw`, which is parsed JSON.

        :raises InvalidRequestError: if it is invalid; the message names each invalid
            field.
        """
        try:
            body = (_ChatBody if chat else _CompletionBody).model_validate(raw)
        except ValidationError as error:
            faults = "; ".join(
                f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
                for fault in error.errors()
            )
            raise InvalidRequestError(faults) from error
        if chat:
            prompt = "\n".join(f"{item.role}: {item.content}" for item in body.messages)
        else:
            prompt = body.prompt
        return cls(body.model, prompt, body.max_tokens, body.stream, chat)

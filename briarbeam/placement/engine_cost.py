"""The published cost of an engine's work, and what one request adds to it."""

from dataclasses import dataclass

# A caller's hint at the length of its answer is trusted up to this many times the usual
# length; a wrong one must not keep an engine empty.
HINT_FACTOR_MAX = 4


@dataclass(frozen=True)
class PassCost:
    """What the passes of an engine take at its usual pace, apart from prompts.

    A pass reads the prompts that wait and executes some steps, each of which makes one
    token for every request that is writing.

    :param slots: the number of requests that an engine runs at a time.
    :param base_s: the time of a pass's steps if one request were to add nothing.
    :param per_request_s: what each writing request adds to them.
    :param passes_per_answer: the number of passes in which an answer is written.
    """

    slots: int
    base_s: float
    per_request_s: float
    passes_per_answer: float

    @property
    def answer_s(self):
        """The time of the steps of an answer while all slots are in use."""
        return self.passes_per_answer * self.steps_s(self.slots)

    def steps_s(self, writing):
        """Return the time of a pass's steps while `writing` requests are writing."""
        if writing <= 0:
            return 0.0
        return self.base_s + min(writing, self.slots) * self.per_request_s


@dataclass(frozen=True)
class EngineCost:
    """What the engines of a service take for their work, at their usual pace.

    :param pass_cost: the `PassCost`.
    :param read_s_per_token: the time to read one token of a prompt.
    :param read_s_per_pair: what each pair of a token and an earlier one adds to that.
    :param usual_prompt_tokens: the mean length of a prompt.
    :param usual_answer_tokens: the mean length of an answer, 0 if not known.
    :param token_capacity: the tokens that the memory of an engine holds, of the prompts
        and answers of all its requests; 0 if not stated.
    """

    pass_cost: PassCost
    read_s_per_token: float
    read_s_per_pair: float
    usual_prompt_tokens: float
    usual_answer_tokens: float = 0.0
    token_capacity: int = 0

    def answer_tokens(self, hint):
        """Return the expected length of an answer.

        :param hint: the length that the caller expects, or None. It is often far off, so
            it counts up to `HINT_FACTOR_MAX` times the usual length only.
        """
        if hint is None:
            return round(self.usual_answer_tokens)
        return min(hint, round(HINT_FACTOR_MAX * self.usual_answer_tokens))

    def read_s(self, prompt_tokens):
        """Return the time to read a prompt.

        :param prompt_tokens: its length, or None for the usual length.
        """
        if prompt_tokens is None:
            prompt_tokens = self.usual_prompt_tokens
        pairs = prompt_tokens * prompt_tokens / 2
        return prompt_tokens * self.read_s_per_token + pairs * self.read_s_per_pair

"""Counts the tokens that the requests of an engine hold in its memory.

Load that it answers: many long prompts or long answers at once. An engine ends if its
requests hold more tokens than its memory does.
"""

# Weight of the last request in the mean size of a request.
SIZE_WEIGHT = 0.05

# Requests whose expected ends differ by less than this may end in any order. On the model
# with a memory of 12,000 tokens, engines held up to 12,435 with 0.5 s, 11,089 with 0.75 s.
END_SLACK_S = 0.75


class HeldTokens:
    """The tokens of the requests that were granted at one engine and have not ended.

    The engine reports only how many requests it has. Of those granted, the smallest of
    those that were expected to end at about the same time, before others, is taken for
    ended, so that the count is rather too high. Requests beyond those granted here, for
    example before a restart of this daemon, count with the mean size.
    """

    def __init__(self):
        self._held = []
        self._tokens = 0
        self._mean_tokens = 0.0
        self._mean_answer_tokens = 0.0

    def observe(self, load):
        """Apply the number of requests that the engine has or is about to get."""
        while len(self._held) > load:
            latest_s = min(self._held)[0] + END_SLACK_S
            near = [item for item in self._held if item[0] <= latest_s]
            ended = min(near, key=lambda item: item[1])
            self._held.remove(ended)
            self._tokens -= ended[1]

    def add(self, prompt_tokens, answer_tokens, first_event_at_s, answer_s):
        """Count a granted request.

        :param answer_tokens: the expected length of its answer.
        :param first_event_at_s: the monotonic time at which its answer is expected.
        :param answer_s: the time that an answer of the usual length takes.
        """
        tokens = prompt_tokens + answer_tokens
        if not self._mean_tokens:
            self._mean_tokens, self._mean_answer_tokens = tokens, max(1, answer_tokens)
        self._mean_tokens += SIZE_WEIGHT * (tokens - self._mean_tokens)
        self._mean_answer_tokens += SIZE_WEIGHT * (
            answer_tokens - self._mean_answer_tokens
        )
        length = answer_tokens / max(1.0, self._mean_answer_tokens)
        end_s = first_event_at_s + length * answer_s
        self._held.append((end_s, tokens))
        self._tokens += tokens

    def tokens(self, load, tokens):
        """Return the tokens held by `load` requests, of which some are not known here.

        :param tokens: the size of a request that stands for those, if none is known.
        """
        unknown = max(0, load - len(self._held))
        return self._tokens + unknown * (self._mean_tokens or tokens)

    def next_end_s(self):
        """Return the time at which the next request is expected to end, or None."""
        return min(self._held)[0] if self._held else None

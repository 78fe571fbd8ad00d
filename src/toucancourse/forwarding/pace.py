"""How long models take to read prompts, learnt from first events."""

from typing import Final

#: Seconds to read one prompt token, until a model was observed.
FIRST_GUESS: Final = 1.3e-5
#: Least seconds to read one token that is believed.
LEAST: Final = 1e-6
#: Time of a first event that isn't spent on reading, in seconds.
OVERHEAD_SECONDS: Final = 0.05
#: Prompts shorter than this many tokens say little of the pace.
MIN_TOKENS: Final = 1000
#: Factor by which an estimate rises with each answer that was slower; the
#: fastest ones show the pace of an endpoint that had nothing else to do.
DRIFT: Final = 1.01


#: Weight of the newest request in a model's usual reading time.
USUAL_STEP: Final = 0.05


class ReadingPace:
    """Seconds that each model takes for a prompt token."""

    def __init__(self) -> None:
        """Start with a guess for all models."""
        self._seconds: dict[str, float] = {}
        #: Model -> usual reading time of a request, in seconds.
        self._usual: dict[str, float] = {}

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Take the time to the first event for some tokens to read."""
        reading = self.predict(model, tokens)
        usual = self._usual.get(model, reading)
        self._usual[model] = usual + USUAL_STEP * (reading - usual)
        if tokens < MIN_TOKENS:
            return
        seen = max(LEAST, (seconds - OVERHEAD_SECONDS) / tokens)
        known = self._seconds.get(model, seen)
        self._seconds[model] = min(known * DRIFT, seen)

    def predict(self, model: str, tokens: float) -> float:
        """Return the seconds that reading some tokens takes."""
        return tokens * self._seconds.get(model, FIRST_GUESS)

    def usual(self) -> float:
        """Return the usual reading time of the slowest model, in seconds.

        Urgent requests are of fast models and seldom wait, so what waits at
        an endpoint is mostly the slowest model's.
        """
        return max(tuple(self._usual.values()), default=0.0)

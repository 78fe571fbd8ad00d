"""Estimated prefill times of models, learnt from times to first event."""

from typing import Final

#: Prefill seconds per token of a model without samples.
DEFAULT_SECONDS_PER_TOKEN: Final = 1.3e-5
#: Lower bound of a plausible sample, in seconds per token.
MIN_SECONDS_PER_TOKEN: Final = 1e-6
#: Part of the time to first event that isn't prefill, in seconds.
OVERHEAD_SECONDS: Final = 0.05
#: Prompts with fewer uncached tokens say little about the time per token.
MIN_SAMPLE_TOKENS: Final = 1000
#: Factor by which an estimate rises with each slower sample. The fastest
#: samples count, since they come from endpoints without other work.
ESTIMATE_GROWTH: Final = 1.01


#: Weight of the newest request in a model's average prefill time.
AVERAGE_WEIGHT: Final = 0.05


class PrefillEstimator:
    """Estimates each model's prefill time per prompt token."""

    def __init__(self) -> None:
        """Create an estimator that uses the default for all models."""
        self._seconds_per_token: dict[str, float] = {}
        #: Model -> moving average of a request's prefill time, in seconds.
        self._averages: dict[str, float] = {}

    def observe(self, model: str, tokens: int, seconds: float) -> None:
        """Add a sample: uncached tokens and seconds to the first event."""
        prefill = self.predict(model, tokens)
        average = self._averages.get(model, prefill)
        self._averages[model] = average + AVERAGE_WEIGHT * (prefill - average)
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = max(
            MIN_SECONDS_PER_TOKEN, (seconds - OVERHEAD_SECONDS) / tokens
        )
        known = self._seconds_per_token.get(model, sample)
        self._seconds_per_token[model] = min(known * ESTIMATE_GROWTH, sample)

    def predict(self, model: str, tokens: float) -> float:
        """Return the estimated prefill time of some tokens, in seconds."""
        return tokens * self._seconds_per_token.get(
            model, DEFAULT_SECONDS_PER_TOKEN
        )

    def find_slowest_average(self) -> float:
        """Return the average prefill time of the slowest model, in seconds.

        Urgent requests use fast models and seldom wait, so most requests in
        an endpoint's queue are for the slowest model.
        """
        return max(tuple(self._averages.values()), default=0.0)

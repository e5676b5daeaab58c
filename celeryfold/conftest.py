"""Hypothesis profiles for all tests.

``fixed`` runs the same examples each time; ``prove`` searches for new ones.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, settings

SUPPRESSED_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "fixed", derandomize=True, deadline=None, suppress_health_check=SUPPRESSED_CHECKS
)
settings.register_profile(
    "prove",
    max_examples=1000,
    deadline=None,
    print_blob=True,
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
    suppress_health_check=SUPPRESSED_CHECKS,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


def count_examples(fixed: int, thorough: int) -> int:
    """Return the number of examples of a test under the profile in use.

    :param fixed: the number in CI.
    :param thorough: the number under ``make prove``.
    """
    is_thorough = os.environ.get("HYPOTHESIS_PROFILE") == "prove"
    return thorough if is_thorough else fixed

"""The stand-ins of the review, which those of the soak extend."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standin"))
import cloud  # noqa: E402, F401
import net  # noqa: E402, F401
import state  # noqa: E402, F401
import worker  # noqa: E402, F401
import world  # noqa: E402, F401

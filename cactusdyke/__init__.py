"""cactusdyke serves multi-stage model pipelines on mixed accelerators."""

__version__ = "0.1.0"

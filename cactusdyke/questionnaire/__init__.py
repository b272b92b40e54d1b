"""The questionnaire: answers in, a configuration out."""

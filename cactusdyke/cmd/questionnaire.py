"""cactusdyke questionnaire: example, check and generate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.cmd import connection, output
from cactusdyke.cmd.action import Action
from cactusdyke.questionnaire import answers, generate
from cactusdyke.util import structure

if TYPE_CHECKING:
    from cactusdyke.configuration.model import Configuration


class QuestionnaireCommands:
    """Works on questionnaires, without a deployment."""

    def check(self, answers_file: str) -> Action:
        """Says every error in a questionnaire.

        Args:
            answers_file: A questionnaire in JSON with comments.
        """

        def work() -> None:
            configuration = _generate(answers_file)
            print(
                f"{answers_file}: good, {len(configuration.customers)}"
                f" customers, {len(configuration.pipelines)} pipelines,"
                f" {len(configuration.services)} services,"
                f" {len(configuration.pools)} pools"
            )

        return Action(work=work)

    def generate(self, answers_file: str) -> Action:
        """Prints the configuration that a questionnaire generates.

        Args:
            answers_file: A questionnaire in JSON with comments.
        """

        def work() -> None:
            configuration = _generate(answers_file)
            output.show_json(structure.unstructure(configuration))

        return Action(work=work)


def _generate(path: str) -> Configuration:
    text = connection.read_text(path)
    parsed = output.unwrap(answers.parse(text, name=path))
    return output.unwrap(generate.generate(parsed))

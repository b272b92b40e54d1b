"""cactusdyke questionnaire: example, check and generate."""

from __future__ import annotations

import pathlib
import sys
import uuid
from typing import TYPE_CHECKING, Any

from cactusdyke.cmd import connection, output
from cactusdyke.cmd.action import Action, asynchronous
from cactusdyke.questionnaire import check, examples, generate
from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from cactusdyke.questionnaire.answers import Answers


class QuestionnaireCommands:
    """Works on questionnaires: example, check, generate."""

    def example(self, name: str = examples.NAMES[0]) -> Action:
        """Prints a worked example to begin with.

        Args:
            name: derwent or tokachi.
        """

        def work() -> None:
            if name not in examples.NAMES:
                output.usage(
                    f"no example {name!r}; take {' or '.join(examples.NAMES)}"
                )
            print(examples.read(name), end="")

        return Action(work=work)

    def check(self, answers_file: str) -> Action:
        """Says every error and every doubt in a questionnaire.

        Args:
            answers_file: A questionnaire in JSON with comments.
        """

        def work() -> None:
            answers = read_answers(answers_file)
            print(
                f"{answers_file}: good, {len(answers.customers)} customers,"
                f" {len(answers.jobs)} jobs, {len(answers.services)} services,"
                f" {len(answers.pools)} pools"
            )

        return Action(work=work)

    def generate(
        self,
        answers_file: str,
        *,
        out: str = "",
        entry: str = "",
        token_file: str = "",
    ) -> Action:
        """Prints what a questionnaire generates, or what it would change.

        With --entry (or CACTUSDYKE_ENTRY) a line is printed for each
        difference from what is in force there; nothing is changed.

        Args:
            answers_file: A questionnaire in JSON with comments.
            out: Write the configuration to this file as well.
            entry: Addresses HOST:PORT, separated by commas.
            token_file: A file with the operator's token.
        """

        async def work() -> None:
            answers = read_answers(answers_file)
            plain = structure.unstructure(
                output.unwrap(generate.generate(answers))
            )
            if out:
                _write(out, plain)
            if not connection.is_named(entry):
                if not out:
                    output.show_json(plain)
                return
            await _print_changes(answers, entry, token_file)

        return asynchronous(work)


def read_answers(path: str) -> Answers:
    """Returns the answers of a file, or ends with a line for each error."""
    report = check.check_text(connection.read_text(path), name=path)
    for warning in report.warnings:
        print(f"cactusdyke: warning: {warning}", file=sys.stderr)
    if report.answers is None or report.errors:
        for error in report.errors:
            print(f"cactusdyke: {error}", file=sys.stderr)
        sys.exit(output.ExitCode.USAGE)
    return report.answers


def _write(path: str, plain: Any) -> None:
    try:
        pathlib.Path(path).write_bytes(jsonc.canonical(plain) + b"\n")
    except OSError as error:
        output.usage(
            f"{path} can't be written ({error.strerror}); name another file"
        )


async def _print_changes(answers: Answers, entry: str, token_file: str) -> None:
    body: dict[str, Any] = {
        "id": uuid.uuid4().hex,
        "answers": structure.unstructure(answers),
        "dry_run": True,
    }
    async with connection.connect(entry, token_file) as client:
        value = output.unwrap(await client.post("/v1/submissions", body))
    print(f"against revision {value['base_revision']}:")
    for line in value["changes"] or ["nothing changes"]:
        print(f"  {line}")

"""Tests of the tool's command line."""

from testtools import TestCase
from testtools.matchers import Contains

from hemlocktrestle.cli.__main__ import build_parser
from hemlocktrestle.cli._registry import COMMANDS


class ParserTests(TestCase):
    """Help names every command, and each command has an example that parses."""

    def test_help_lists_every_first_word(self) -> None:
        """The help lists the first word of every command."""
        text = build_parser().format_help()
        for words in COMMANDS:
            self.assertThat(text, Contains(words[0]))

    def test_examples_parse_as_their_command(self) -> None:
        """The example in a command's help parses as that command."""
        parser = build_parser()
        for words, entry in COMMANDS.items():
            options = parser.parse_args(entry.example.split()[1:])
            self.assertEqual(words, options.command.words)

"""Checked INI files: every key has a type, a unit, a default and a range."""

import configparser
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from returns.result import Failure, Result, Success

ParserT = TypeVar("ParserT", bound=Callable[[str], Any])

# The same pattern as configparser's, so that both find the same sections.
_SECTION = re.compile(r"^\[(?P<name>.+)\]")
_KEY = re.compile(r"^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]")

# Faults in the INI syntax after which a file is given up: each costs a pass over it.
_SYNTAX_FAULTS_MAX = 50


class Fault(NamedTuple):
    """A fault in a file, located as closely as possible; line 0 is unknown."""

    file: str
    line: int
    section: str
    key: str
    problem: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        name = f"[{self.section}] {self.key}".rstrip() if self.section else self.key
        return (
            f"{place}: {name}: {self.problem}" if name else f"{place}: {self.problem}"
        )


class KeySpec(NamedTuple):
    """What a key may hold.

    Attributes:
        parse: Turns the text into a value, raises ``ValueError`` with the problem.
        default: Value when the key is absent; ``REQUIRED`` when it must be given.
        unit: Unit for people, empty if there is none.
        doc: One sentence for the documentation.
    """

    parse: Callable[[str], Any]
    default: Any
    unit: str
    doc: str

    @property
    def accepts(self) -> str:
        """What the key accepts, with its range, in a few words."""
        return _ACCEPTS_BY_PARSER[self.parse]


REQUIRED = object()

# What each parser accepts, for the documentation.
_ACCEPTS_BY_PARSER: dict[Callable[[str], Any], str] = {}


def describe_parser(parse: ParserT, accepts: str) -> ParserT:
    """Note what a parser accepts, and return the parser."""
    _ACCEPTS_BY_PARSER[parse] = accepts
    return parse


def number(low: float, high: float) -> Callable[[str], float]:
    """Accept a finite number between two bounds, both included."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a number") from None
        if not low <= value <= high:
            raise ValueError(f"{text} is outside {low:g} to {high:g}")
        return value

    return describe_parser(parse, f"number, {low:g} to {high:g}")


def integer(low: int, high: int) -> Callable[[str], int]:
    """Accept a whole number between two bounds, both included."""

    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a whole number") from None
        if not low <= value <= high:
            raise ValueError(f"{text} is outside {low} to {high}")
        return value

    return describe_parser(parse, f"whole number, {low} to {high}")


def one_of(*choices: str) -> Callable[[str], str]:
    """Accept one of the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return describe_parser(parse, ", ".join(choices))


def boolean(text: str) -> bool:
    """Accept ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is not yes or no")
    return text == "yes"


def words(text: str) -> tuple[str, ...]:
    """Accept words separated by commas or white space; none is allowed."""
    return tuple(text.replace(",", " ").split())


describe_parser(boolean, "yes, no")
describe_parser(words, "words")


def matching(pattern: str, description: str) -> Callable[[str], str]:
    """Accept text that a regular expression matches in full."""
    compiled = re.compile(pattern)

    def parse(text: str) -> str:
        if not compiled.fullmatch(text):
            raise ValueError(f"{text!r} is not {description}")
        return text

    return describe_parser(parse, description)


def locate_keys(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each section (key ``""``) and of each key in it."""
    line_by_key: dict[tuple[str, str], int] = {}
    section = ""
    for number_of_line, line in enumerate(text.split("\n"), start=1):
        if found := _SECTION.match(line):
            section = found["name"]
            line_by_key.setdefault((section, ""), number_of_line)
        elif found := _KEY.match(line):
            line_by_key.setdefault(
                (section, found["name"].strip().lower()), number_of_line
            )
    return line_by_key


def parse_ini_lenient(
    text: str, *, file: str
) -> tuple[dict[str, dict[str, str]], list[Fault]]:
    """Read INI text into values by section and key, without interpolation.

    Faulty lines are left out, so that what remains can be checked as well. A section
    that is given twice keeps its first content.

    Returns:
        The texts by section and key, and every fault in the syntax.
    """
    lines = text.split("\n")
    faults: list[Fault] = []
    while True:
        # A comment character counts only after white space.
        parser = configparser.ConfigParser(
            interpolation=None,
            default_section="\0",
            inline_comment_prefixes=("#", ";"),
        )
        try:
            parser.read_string("\n".join(lines), source=file)
            break
        except configparser.Error as error:
            if not _leave_out(error, lines, file, faults):
                return {}, faults
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return {n: v for n, v in sections.items() if not n.startswith("\0")}, faults


def _leave_out(
    error: configparser.Error, lines: list[str], file: str, faults: list[Fault]
) -> bool:
    """Note a syntax error and remove its lines; false if that is not possible."""
    section = getattr(error, "section", "") or ""
    key = getattr(error, "option", "") or ""
    at = getattr(error, "lineno", 0) or 0
    if isinstance(error, configparser.DuplicateSectionError):
        faults.append(Fault(file, at, section, "", "section is given twice"))
        lines[at - 1] = f"[\0{len(faults)}]"
    elif isinstance(error, configparser.DuplicateOptionError):
        if not section.startswith("\0"):
            faults.append(Fault(file, at, section, key, "key is given twice"))
        lines[at - 1] = ""
    elif isinstance(error, configparser.MissingSectionHeaderError):
        faults.append(Fault(file, at, "", "", "text before the first section"))
        lines[at - 1] = ""
    elif isinstance(error, configparser.ParsingError):
        for at, _ in error.errors:
            faults.append(Fault(file, at, "", "", "neither a section nor key = value"))
            lines[at - 1] = ""
    else:
        faults.append(Fault(file, at, section, key, str(error).replace("\n", " ")))
        return False
    return len(faults) < _SYNTAX_FAULTS_MAX


def parse_ini(
    text: str, *, file: str
) -> Result[dict[str, dict[str, str]], list[Fault]]:
    """Parse INI text as ``parse_ini_lenient`` does, but fail on any syntax fault."""
    sections, faults = parse_ini_lenient(text, file=file)
    return Failure(faults) if faults else Success(sections)


def parse_section(
    values: Mapping[str, str],
    specs: Mapping[str, KeySpec],
    *,
    file: str,
    section: str,
    line_by_key: Mapping[tuple[str, str], int],
) -> tuple[dict[str, Any], list[Fault]]:
    """Check one section against its keys.

    Returns:
        The parsed values by key with defaults filled in, and every fault found.
    """
    parsed: dict[str, Any] = {}
    faults: list[Fault] = []

    def add_fault(key: str, problem: str) -> None:
        line = line_by_key.get((section, key)) or line_by_key.get((section, ""), 0)
        faults.append(Fault(file, line, section, key, problem))

    for key in values:
        if key not in specs:
            add_fault(key, "unknown key")
    for key, spec in specs.items():
        if key not in values:
            if spec.default is REQUIRED:
                add_fault(key, "missing")
            parsed[key] = spec.default
            continue
        try:
            parsed[key] = spec.parse(values[key].strip())
        except ValueError as error:
            add_fault(key, str(error))
    return parsed, faults

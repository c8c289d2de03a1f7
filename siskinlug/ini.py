"""Parse INI files and check each key: its type, range, default and unit."""

import configparser
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from returns.result import Failure, Result, Success

ParserT = TypeVar("ParserT", bound=Callable[[str], Any])

# Same as configparser's pattern, so that both find the same sections.
_SECTION = re.compile(r"^\[(?P<name>.+)\]")
_KEY = re.compile(r"^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]")

# Parsing stops at this many syntax faults, since each one costs a pass over the file.
_MAX_SYNTAX_FAULTS = 50


class Fault(NamedTuple):
    """A fault in a file.

    Attributes:
        file: Name of the file.
        line: Line, or the nearest one that is known; 0 is unknown.
        section: Section, or empty.
        key: Key, or empty.
        problem: What is wrong.
    """

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
    """Specification of a key.

    Attributes:
        parse: Parses the value; raises ``ValueError`` with the problem.
        default: Value if the key is absent; ``REQUIRED`` if it must be present.
        unit: Unit for the documentation; empty if there is none.
        doc: One sentence for the documentation.
    """

    parse: Callable[[str], Any]
    default: Any
    unit: str
    doc: str

    @property
    def accepts(self) -> str:
        """Short description of the accepted values, such as their range."""
        return _DESCRIPTION_BY_PARSER[self.parse]


REQUIRED = object()

# Values that each parser accepts, for the documentation.
_DESCRIPTION_BY_PARSER: dict[Callable[[str], Any], str] = {}


def describe_parser(parse: ParserT, accepts: str) -> ParserT:
    """Register a description of the values that a parser accepts.

    Args:
        parse: The parser.
        accepts: The description, in a few words.

    Returns:
        The parser.
    """
    _DESCRIPTION_BY_PARSER[parse] = accepts
    return parse


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for a finite number between two bounds, both included."""

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
    """Return a parser for an integer between two bounds, both included."""

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
    """Return a parser for one of the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return describe_parser(parse, ", ".join(choices))


def boolean(text: str) -> bool:
    """Parse ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is not yes or no")
    return text == "yes"


def words(text: str) -> tuple[str, ...]:
    """Parse any number of words, separated by commas or white space."""
    return tuple(text.replace(",", " ").split())


describe_parser(boolean, "yes, no")
describe_parser(words, "words")


def matching(pattern: str, description: str) -> Callable[[str], str]:
    """Return a parser for text that a regular expression matches in full.

    Args:
        pattern: The regular expression.
        description: Description of the text, for faults and the documentation.
    """
    compiled = re.compile(pattern)

    def parse(text: str) -> str:
        if not compiled.fullmatch(text):
            raise ValueError(f"{text!r} is not {description}")
        return text

    return describe_parser(parse, description)


def locate_keys(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each section and key, by section and key.

    The line of a section itself has the key ``""``.
    """
    line_by_key: dict[tuple[str, str], int] = {}
    section = ""
    for line_number, line in enumerate(text.split("\n"), start=1):
        if match := _SECTION.match(line):
            section = match["name"]
            line_by_key.setdefault((section, ""), line_number)
        elif match := _KEY.match(line):
            line_by_key.setdefault(
                (section, match["name"].strip().lower()), line_number
            )
    return line_by_key


def parse_ini_lenient(
    text: str, *, file: str
) -> tuple[dict[str, dict[str, str]], list[Fault]]:
    """Parse INI text without interpolation, and skip lines with syntax faults.

    The remaining lines can then be checked as well. If a section or key is repeated,
    the first one is kept.

    Args:
        text: The INI text.
        file: File name for the faults.

    Returns:
        The values by section and key, and every syntax fault. After too many faults
        there are no values.
    """
    lines = text.split("\n")
    faults: list[Fault] = []
    while True:
        # Comment characters only start a comment after white space.
        parser = configparser.ConfigParser(
            interpolation=None,
            default_section="\0",
            inline_comment_prefixes=("#", ";"),
        )
        try:
            parser.read_string("\n".join(lines), source=file)
            break
        except configparser.Error as error:
            if not _skip_faulty_lines(error, lines, file, faults):
                return {}, faults
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return {n: v for n, v in sections.items() if not n.startswith("\0")}, faults


def _skip_faulty_lines(
    error: configparser.Error, lines: list[str], file: str, faults: list[Fault]
) -> bool:
    """Add a fault for a syntax error and blank its lines.

    A repeated section is renamed to a name that starts with NUL instead, so that its
    keys are not read as keys of the section before it.

    Args:
        error: Error of the last pass over the text.
        lines: Lines of the text; changed in place.
        file: File name for the faults.
        faults: Faults found so far; new ones are appended.

    Returns:
        Whether another pass makes sense: the error's lines are known and there are not
        too many faults yet.
    """
    section = getattr(error, "section", "") or ""
    key = getattr(error, "option", "") or ""
    line = getattr(error, "lineno", 0) or 0
    if isinstance(error, configparser.DuplicateSectionError):
        faults.append(Fault(file, line, section, "", "section is given twice"))
        lines[line - 1] = f"[\0{len(faults)}]"
    elif isinstance(error, configparser.DuplicateOptionError):
        if not section.startswith("\0"):
            faults.append(Fault(file, line, section, key, "key is given twice"))
        lines[line - 1] = ""
    elif isinstance(error, configparser.MissingSectionHeaderError):
        faults.append(Fault(file, line, "", "", "text before the first section"))
        lines[line - 1] = ""
    elif isinstance(error, configparser.ParsingError):
        for line, _ in error.errors:
            faults.append(
                Fault(file, line, "", "", "neither a section nor key = value")
            )
            lines[line - 1] = ""
    else:
        faults.append(Fault(file, line, section, key, str(error).replace("\n", " ")))
        return False
    return len(faults) < _MAX_SYNTAX_FAULTS


def parse_ini(
    text: str, *, file: str
) -> Result[dict[str, dict[str, str]], list[Fault]]:
    """Parse INI text as ``parse_ini_lenient`` does, but fail on any syntax fault."""
    sections, faults = parse_ini_lenient(text, file=file)
    return Failure(faults) if faults else Success(sections)


def parse_section(
    text_by_key: Mapping[str, str],
    specs: Mapping[str, KeySpec],
    *,
    file: str,
    section: str,
    line_by_key: Mapping[tuple[str, str], int],
) -> tuple[dict[str, Any], list[Fault]]:
    """Parse and check the values of one section.

    Args:
        text_by_key: Text of each key that is present.
        specs: Specification of each allowed key.
        file: File name for the faults.
        section: Name of the section.
        line_by_key: Line by section and key, as from ``locate_keys``.

    Returns:
        The parsed values by key, with defaults for absent keys, and every fault found.
    """
    value_by_key: dict[str, Any] = {}
    faults: list[Fault] = []

    def add_fault(key: str, problem: str) -> None:
        line = line_by_key.get((section, key)) or line_by_key.get((section, ""), 0)
        faults.append(Fault(file, line, section, key, problem))

    for key in text_by_key:
        if key not in specs:
            add_fault(key, "unknown key")
    for key, spec in specs.items():
        if key not in text_by_key:
            if spec.default is REQUIRED:
                add_fault(key, "missing")
            value_by_key[key] = spec.default
            continue
        try:
            value_by_key[key] = spec.parse(text_by_key[key].strip())
        except ValueError as error:
            add_fault(key, str(error))
    return value_by_key, faults

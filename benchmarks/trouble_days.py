"""Writes days of our own for the users' bench: every trouble twice, and pairs that share a moment.

    python -m benchmarks.trouble_days SITE.toml FOLDER [--pairs 30] [--seed 1]

Each file is a day that ``fleetbench run SITE FILE`` plays. Troubles are those that the site file
lists, and those of :data:`ALSO`, which may come on any installation.
"""

import argparse
import json
import pathlib
import random
import tomllib
import typing as t

Trouble = t.Dict[str, t.Any]

#: Planned work; all other kinds are faults.
PLANNED = frozenset(
    (
        "add_nodes",
        "config_change",
        "config_storm",
        "evacuate",
        "hup",
        "release",
        "roll_term",
        "scale_in",
        "scale_out",
    )
)
ALSO: t.Tuple[Trouble, ...] = (
    {"kind": "node_slow", "share": 0.2, "x": 5.0, "for_s": 5.0},
    {"kind": "hup", "share": 0.5},
    {"kind": "reset_conns", "share": 0.3, "x": 0.5},
    {"kind": "zone_cut", "for_s": 5.0},
    {"kind": "clock_step", "share": 0.3, "x": 2400.0, "for_s": 6.0, "how": "back"},
    {"kind": "platform_lost", "x": 0.5, "for_s": 5.0, "how": "late"},
)
#: Seconds at which troubles come, the second time with the first one's effects still there.
MOMENTS = (5.0, 17.0)
#: Seconds by which the second trouble of a pair follows the first.
APART_S = 0.7


def day_of(site: t.Dict[str, t.Any], name: str, seed: int, troubles: t.List[Trouble]) -> str:
    """A day with these troubles on the traffic of the site's first day with trouble."""
    model = next(day for day in site["day"] if day["slot"] == "trouble")
    day = {
        "name": name,
        "slot": "trouble",
        "seed": seed,
        "one": model["one"],
        "zero": model["zero"],
        "goal": model["goal"],
        "labels": [],
        "plan": [trouble for trouble in troubles if trouble["kind"] in PLANNED],
        "faults": [trouble for trouble in troubles if trouble["kind"] not in PLANNED],
        "traffic": model["traffic"],
    }
    lines = ["[[day]]"]
    for key, value in day.items():
        lines.append(f"{key} = {text_of(value)}")
    return "\n".join(lines) + "\n"


def days_of(site: t.Dict[str, t.Any], pairs: int, seed: int) -> t.Iterator[t.Tuple[str, str]]:
    """Names and texts of the days."""
    known = [dict(trouble) for trouble in site["troubles"]] + [dict(also) for also in ALSO]
    for number, trouble in enumerate(known):
        twice = [{**trouble, "at": at} for at in MOMENTS]
        name = f"twice-{number:02}-{trouble['kind']}"
        yield name, day_of(site, name, seed * 1000 + number, twice)
    rng = random.Random(seed)
    for number in range(pairs):
        first, second = rng.sample(known, 2)
        both = []
        for at in MOMENTS:
            both += [{**first, "at": at}, {**second, "at": at + APART_S}]
        name = f"pair-{number:02}-{first['kind']}-{second['kind']}"
        yield name, day_of(site, name, seed * 1000 + 500 + number, both)


def text_of(value: t.Any) -> str:
    """A value as TOML."""
    if isinstance(value, dict):
        fields = ", ".join([f"{json.dumps(key)} = {text_of(item)}" for key, item in value.items()])
        return f"{{ {fields} }}"
    if isinstance(value, list):
        return "[" + ", ".join([text_of(item) for item in value]) + "]"
    return json.dumps(value)


def main() -> None:
    """Write the days into a folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--pairs", type=int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    site = tomllib.loads(options.site.readtext_of())
    options.folder.mkdir(parents=True, exist_ok=True)
    for name, text in days_of(site, options.pairs, options.seed):
        (options.folder / f"{name}.toml").writetext_of(text)


if __name__ == "__main__":
    main()

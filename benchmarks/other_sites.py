"""Writes installations of our own for the users' bench, of kinds that its own sites do not have.

    python -m benchmarks.other_sites SITE.toml FOLDER

Each file is a site that ``fleetbench run FILE DAY``, ``score`` and ``hunt`` play: days and traffic
are those of ``SITE``, the rest is of another kind that the users' pages describe. Its marks are
those of ``SITE`` and say little; what counts is that no rule is broken and most are served.
"""

import argparse
import pathlib
import tomllib
import typing as t

from .trouble_days import text_of

Site = t.Dict[str, t.Any]


def _untold(site: Site) -> None:
    """No target tells its load."""
    for service in site["services"]:
        service["load_header"] = False


def _uneven(site: Site) -> None:
    """Targets of one service differ in speed, and slow down when nearly full."""
    for service in site["services"]:
        service["speeds"] = [0.6, 1.0, 1.6]
        service["knee"] = 0.7
        service["knee_x"] = 1.8


def _few_slots(site: Site) -> None:
    """Targets have a slot or two and a short queue, and there are more of them."""
    for service in site["services"]:
        times = service["slots"]
        service["slots"] = 1
        service["queue"] = 2
        service["warm_keeps"] = max(4, service["warm_keeps"] // times)
        for group in service["servers"]:
            group["count"] *= times


def _many_slots(site: Site) -> None:
    """Few targets with many slots each."""
    for service in site["services"]:
        service["slots"] *= 4
        service["queue"] *= 4
        service["warm_keeps"] *= 3
        for group in service["servers"]:
            group["count"] = max(1, group["count"] // 3)


def _one_region(site: Site) -> None:
    """All zones belong to one region."""
    for zone in site["zones"]:
        zone["region"] = site["zones"][0]["region"]
    site["tolerate"]["regions"] = 0


def _cold(site: Site) -> None:
    """Targets stay cold for long and bear little meanwhile."""
    for service in site["services"]:
        service["cold_s"] = 8.0
        service["cold_x"] = 3.0
        service["cold_per_s"] = 3.0


def _far(site: Site) -> None:
    """Zones and regions are far from each other, and the store is too."""
    site["net"]["cross_zone_ms"] = 4.0
    site["net"]["cross_region_ms"] = 90.0


def _large(site: Site) -> None:
    """Bodies and answers are forty times as long."""
    for kind in site["classes"]:
        for part in ("req_bytes", "resp_bytes"):
            kind[part]["mean"] *= 40
            kind[part]["max"] *= 40


def _weak(site: Site) -> None:
    """Machines have a quarter of a core and a narrow link."""
    for machine in site["machines"]:
        machine["cpu_share"] = 0.22
        machine["link_mbps"] = 50.0
        machine["memory_mb"] = 160


def _few_files(site: Site) -> None:
    """Machines may open few files and connections."""
    for machine in site["machines"]:
        machine["fds"] = 420


def _tight(site: Site) -> None:
    """The users ask for half the times, and for half of what may shift."""
    site["bounds"]["drain_ms"] = 1000
    site["bounds"]["config_ms"] = 1000
    site["bounds"]["grace_s"] = 4.0
    site["bounds"]["shift_most"] = 0.08


def _few_rules(site: Site) -> None:
    """Fewer parts of the rules are in force, so that the settings have fewer bounds."""
    site["contracts"] = ["base", "drain", "config", "cost", "platform"]


def _many(site: Site) -> None:
    """Ten times the machines and twenty times the targets, for the same requests."""
    for machine in site["machines"]:
        machine["count"] *= 9
    for service in site["services"]:
        for group in service["servers"]:
            group["count"] *= 20
    site["platform"].update(writes_per_s=4000.0, reads_per_s=20000.0, part_writes_per_s=4000.0)


KINDS: t.Dict[str, t.Callable[[Site], None]] = {
    "untold": _untold,
    "uneven": _uneven,
    "few-slots": _few_slots,
    "many-slots": _many_slots,
    "one-region": _one_region,
    "cold": _cold,
    "far": _far,
    "large": _large,
    "weak": _weak,
    "few-files": _few_files,
    "tight": _tight,
    "many": _many,
    "few-rules": _few_rules,
}


def text_of_site(site: Site) -> str:
    """A site file."""
    lines = [f"{key} = {text_of(value)}" for key, value in site.items() if key not in _TABLES]
    for key, value in site.items():
        if key not in _TABLES:
            continue
        for table in value if isinstance(value, list) else [value]:
            lines.append(f"\n[[{key}]]" if isinstance(value, list) else f"\n[{key}]")
            lines += [f"{field} = {text_of(item)}" for field, item in table.items()]
    return "\n".join(lines) + "\n"


_TABLES = frozenset(
    [
        "timing",
        "net",
        "discovery",
        "entry",
        "config",
        "tolerate",
        "bounds",
        "prices",
        "goal",
        "platform",
        "target",
        "day",
    ]
)


def main() -> None:
    """Write the sites into a folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    for kind, change in KINDS.items():
        site = tomllib.loads(options.site.read_text())
        site["name"] = f"{site['name']}-{kind}"
        site["wire"] = str((options.site.parent / site["wire"]).resolve())
        change(site)
        (options.folder / f"{site['name']}.toml").write_text(text_of_site(site))


if __name__ == "__main__":
    main()

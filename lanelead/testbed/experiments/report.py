"""Reports an experiment's results as one self-contained HTML file, with tables, intervals and plots, or as text."""

from __future__ import annotations

import io
from typing import Any

from jinja2 import Environment

from lanelead.settings.experiment_settings import ExperimentPlan
from lanelead.testbed.experiments.plan import MEASURES
from lanelead.testbed.experiments.run import Rows, interval, paired

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ plan.name }}</title>
<style>body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse}
td,th{border:1px solid #999;padding:.2em .6em;text-align:right}td:first-child,th:first-child,td:nth-child(2)
{text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{ plan.name }}</h1><p>{{ plan.says }}</p>
<p>Scenario {{ plan.day }} in virtual time, {{ runs }} runs. Figures are means with 95% intervals (Student's t).
Differences to {{ plan.baseline }} are over pairs of runs with the same seed; a difference whose interval contains zero
shows nothing.</p>
{% for measure, rows in tables %}<h2>{{ measure }}</h2><table><tr><th>levels<th>policy<th>runs<th>mean
<th>&plusmn;<th>more than {{ plan.baseline }}<th>&plusmn;</tr>
{% for row in rows %}<tr><td>{{ row.cell }}<td>{{ row.policy }}<td>{{ row.runs }}
<td>{{ row.mean }}<td>{{ row.half_width }}
<td>{{ row.more }}<td>{{ row.more_half }}</tr>{% endfor %}</table>{{ plots[measure] }}{% endfor %}</html>
"""


def format_value(value: float) -> str:
    """Formats a number with four digits; an empty string for NaN and infinity."""
    return "" if value != value or value in (float("inf"), float("-inf")) else f"{value:.4g}"


def table(plan: ExperimentPlan, rows: Rows, measure: str) -> list[dict[str, Any]]:
    """Returns a measure's rows, one for each cell and policy: texts to show, and `value` and `width` for the plot."""
    found = []
    for (cell, policy), seeds in rows.items():
        values = [some[measure] for some in seeds.values() if measure in some]
        if not values:
            continue
        mean, half_width = interval(values)
        row = {
            "cell": cell,
            "policy": policy,
            "runs": len(values),
            "mean": format_value(mean),
            "half_width": format_value(half_width),
        }
        row |= {"more": "", "more_half": "", "value": mean, "width": half_width if half_width < 1e300 else 0.0}
        more = None if policy == plan.baseline else paired(rows, cell, policy, plan.baseline, measure)
        if more is not None:
            row |= {"more": format_value(more[0]), "more_half": format_value(more[1])}
        found.append(row)
    return found


def plot(rows: list[dict[str, Any]], measure: str) -> str:
    """Returns an SVG image of the means and intervals in `table` rows."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    pyplot.rcParams["svg.fonttype"] = "none"  # text as text elements: a fifth of the size of text as paths
    pyplot.rcParams["svg.hashsalt"] = measure  # the same results give the same file
    cells = list(dict.fromkeys(row["cell"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axis = pyplot.subplots(figsize=(9, 3))
    for number, policy in enumerate(policies):
        policy_rows = {row["cell"]: row for row in rows if row["policy"] == policy}
        places = [place + 0.06 * number for place, cell in enumerate(cells) if cell in policy_rows]
        some = [policy_rows[cell] for cell in cells if cell in policy_rows]
        axis.errorbar(
            places,
            [row["value"] for row in some],
            [row["width"] for row in some],
            fmt="o-",
            capsize=3,
            label=policy,
            linewidth=0.8,
            markersize=4,
        )
    axis.set_xticks(range(len(cells)), cells, fontsize=8)
    axis.set_ylabel(measure)
    axis.legend(fontsize=8)
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def page(plan: ExperimentPlan, rows: Rows) -> str:
    """Returns the report as HTML text."""
    tables = [(measure, some) for measure in MEASURES if (some := table(plan, rows, measure))]
    plots = {measure: plot(some, measure) for measure, some in tables}
    runs = sum(len(seeds) for seeds in rows.values())
    template = Environment(autoescape=True).from_string(
        PAGE.replace("{{ plots[measure] }}", "{{ plots[measure]|safe }}")
    )
    return template.render(plan=plan, tables=tables, plots=plots, runs=runs)


def lines(plan: ExperimentPlan, rows: Rows) -> list[str]:
    """Returns a summary for a terminal: the table of the measure that the plan's stopping rule uses."""
    found = [f"{plan.stop.measure}: levels | policy | runs | mean, half-width | more than {plan.baseline}"]
    for row in table(plan, rows, plan.stop.measure):
        more = f"{row['more']} +- {row['more_half']}" if row["more"] else "-"
        found.append(f"{row['cell']} | {row['policy']} | {row['runs']} | {row['mean']} +- {row['half_width']} | {more}")
    return found

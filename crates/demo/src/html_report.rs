//! Renders a run as one self-contained HTML page: a plot for each receiver, and the checker's result.

mod plot;

use std::fmt::Write;

use rudderspindle_testkit::checker::{Accounting, Rule, Verdict};

use crate::statistics::{ReceiverStatistics, Statistics};
use plot::{OUTAGE_COLOUR, Plot, RETRY_AFTER_COLOUR, SERIES, Series};

/// The page up to its legend.
const HEAD: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>rudderspindle: demo run</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#1b1b1b}
svg{width:100%;height:auto}table{border-collapse:collapse}
td,th{padding:.2rem .8rem;text-align:left;border-bottom:1px solid #ddd}
td.n{text-align:right;font-variant-numeric:tabular-nums}
.violated{color:#b3261e;font-weight:600}.legend span{margin-right:1.4rem;white-space:nowrap}
h2{font-size:1.1rem;margin:1.6rem 0 .2rem}</style></head><body>
<h1>Demo run</h1>
"#;
/// The end of the page.
const FOOT: &str = "</body></html>\n";

/// The page of a run that lasted `duration_us`.
pub fn render(statistics: &Statistics, verdict: &Verdict, duration_us: u64) -> String {
    let receivers = statistics.receivers.values();
    let mut html = HEAD.to_owned();
    html.push_str(&legend());
    html.extend(receivers.map(|receiver| receiver_section(receiver, duration_us)));
    html.push_str(&rules_section(verdict));
    html.push_str(&accounting_section(&verdict.accounting));
    html.push_str(FOOT);
    html
}

fn legend() -> String {
    let mut html = String::from("<p class=\"legend\">");
    for Series { name, colour, dashes, .. } in SERIES {
        let _ = write!(
            html,
            "<span><svg viewBox=\"0 0 24 10\" style=\"width:24px;height:10px\">\
             <line x1=\"0\" y1=\"5\" x2=\"24\" y2=\"5\" stroke=\"{colour}\" stroke-width=\"2\" \
             stroke-dasharray=\"{dashes}\"/></svg> {name}</span>"
        );
    }
    for (name, colour) in [("outage", OUTAGE_COLOUR), ("Retry-After", RETRY_AFTER_COLOUR)] {
        let _ = write!(html, "<span style=\"background:{colour};padding:0 .4rem\">{name}</span>");
    }
    html.push_str("</p>\n");
    html
}

fn receiver_section(receiver: &ReceiverStatistics, duration_us: u64) -> String {
    let total = receiver.total;
    format!(
        "<h2>{}</h2>\n<p>{} accepted, {} delivered, {} calls rejected</p>\n{}\n",
        escape(&receiver.name),
        total.accepted,
        total.delivered,
        total.rejected_calls,
        Plot::new(receiver, duration_us).render()
    )
}

fn rules_section(verdict: &Verdict) -> String {
    let mut html = String::from("<h2>Rules</h2>\n<table>\n");
    for rule in Rule::ALL {
        let violations = verdict.violations.iter().filter(|violation| violation.rule == rule).count();
        let result = match violations {
            0 => "<td>kept</td>".to_owned(),
            1 => "<td class=\"violated\">violated once</td>".to_owned(),
            _ => format!("<td class=\"violated\">violated {violations} times</td>"),
        };
        let _ = writeln!(html, "<tr><th>{rule}</th>{result}</tr>");
    }
    html.push_str("</table>\n");
    html
}

fn accounting_section(accounting: &Accounting) -> String {
    let rows = [
        ("submitted", accounting.submitted),
        ("accepted", accounting.accepted),
        ("delivered", accounting.delivered),
        ("delivered within the latency objective", accounting.in_time),
        ("rejected", accounting.rejected),
        ("failed", accounting.failed),
        ("shed at admission", accounting.rejected_on_submission),
        ("failed at admission", accounting.failed_on_submission),
        ("unanswered", accounting.unanswered),
        ("pending", accounting.pending),
        ("lost", accounting.lost),
        ("duplicated", accounting.duplicated),
    ];
    let mut html = String::from("<h2>Messages</h2>\n<table>\n");
    for (name, count) in rows {
        let _ = writeln!(html, "<tr><th>{name}</th><td class=\"n\">{count}</td></tr>");
    }
    html.push_str("</table>\n");
    html
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests;

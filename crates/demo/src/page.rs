//! The evening as one page that needs nothing else: a plot for each partner, and the judge's table.

use std::fmt::Write as _;

use rudderspindle_testkit::checker::{Rule, Verdict};

use crate::tally::{FakeReceiver, Second, Span, Tally};

/// The plot's size, in its own units.
const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 180.0;
const LEFT: f64 = 44.0;
const BOTTOM: f64 = 24.0;
/// Name, colour, dashes, and the figure.
type Series = (&'static str, &'static str, &'static str, fn(&Second) -> u32);
/// Lines, their colours, and how each is dashed for those who see no colours.
const SERIES: [Series; 4] = [
    ("taken on a second", "#1f4e79", "", |s| s.offered),
    ("delivered a second", "#2e7d32", "", |s| s.delivered),
    ("calls refused a second", "#b3261e", "4 3", |s| s.refused),
    ("held", "#6d4c9f", "1 3", |s| s.held),
];

/// The whole page.
#[expect(clippy::too_many_lines, reason = "one template of a page, top to bottom")]
pub fn page(tally: &Tally, verdict: &Verdict, end_us: u64) -> String {
    let mut html = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\
         <title>rudderspindle: an evening</title><style>\
         body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#1b1b1b}\
         svg{width:100%;height:auto}table{border-collapse:collapse}td,th{padding:.2rem .8rem;text-align:left;\
         border-bottom:1px solid #ddd}td.n{text-align:right;font-variant-numeric:tabular-nums}\
         .broken{color:#b3261e;font-weight:600}.key span{margin-right:1.4rem;white-space:nowrap}\
         h2{font-size:1.1rem;margin:1.6rem 0 .2rem}</style></head><body>\n\
         <h1>An evening of clips</h1>\n<p class=\"key\">",
    );
    for (name, colour, dash, _) in SERIES {
        let line = format!(
            "<line x1=\"0\" y1=\"5\" x2=\"24\" y2=\"5\" stroke=\"{colour}\" stroke-width=\"2\" stroke-dasharray=\"{dash}\"/>"
        );
        let _ = write!(
            html,
            "<span><svg viewBox=\"0 0 24 10\" style=\"width:24px;height:10px\">{line}</svg> {name}</span>"
        );
    }
    html.push_str("<span style=\"background:#f6d5d2;padding:0 .4rem\">outage</span><span style=\"background:#fdf0c4;padding:0 .4rem\">told wait</span></p>\n");
    for partner in tally.partners.values() {
        let t = partner.total;
        let _ = write!(
            html,
            "<h2>{}</h2>\n<p>{} taken on, {} delivered, {} calls refused</p>\n{}\n",
            escape(&partner.name),
            t.offered,
            t.delivered,
            t.refused,
            plot(partner, end_us),
        );
    }
    html.push_str("<h2>The six rules</h2>\n<table>\n");
    for rule in Rule::ALL {
        let count = verdict.violations.iter().filter(|b| b.rule == rule).count();
        let word = if count == 0 {
            "<td>kept</td>".to_owned()
        } else {
            format!("<td class=\"broken\">broken {count} times</td>")
        };
        let _ = writeln!(html, "<tr><th>{rule}</th>{word}</tr>");
    }
    html.push_str("</table>\n<h2>Where the messages went</h2>\n<table>\n");
    let a = &verdict.accounting;
    for (name, n) in [
        ("handed in", a.submitted),
        ("taken on", a.accepted),
        ("delivered", a.delivered),
        ("of these in full within the wanted time", a.in_time),
        ("refused by a notice", a.rejected),
        ("failed by a notice", a.failed),
        ("refused at the door", a.rejected_on_submission),
        ("failed at the door", a.failed_on_submission),
        ("unheard by their clients", a.unanswered),
        ("open", a.pending),
        ("lost", a.lost),
        ("doubled", a.duplicated),
    ] {
        let _ = writeln!(html, "<tr><th>{name}</th><td class=\"n\">{n}</td></tr>");
    }
    html.push_str("</table>\n</body></html>\n");
    html
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn plot(partner: &FakeReceiver, end_us: u64) -> String {
    let end = end_us.max(1) as f64;
    let most = partner.seconds.iter().flat_map(|s| SERIES.map(|(.., of)| of(s))).max().unwrap_or(0);
    // A round figure above all of them.
    let top = f64::from((most.max(4)).next_multiple_of(if most > 40 { 20 } else { 4 }));
    let x = |us: f64| LEFT + (WIDTH - LEFT) * (us / end).min(1.0);
    let y = |n: f64| HEIGHT - BOTTOM - (HEIGHT - BOTTOM - 8.0) * n / top;
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{}\">",
        escape(&partner.name)
    );
    let mut shade = |spans: &[Span], colour: &str, from_y: f64, height: f64| {
        for (from, to) in spans {
            let (from, to) = (x(*from as f64), x(to.min(&end_us).to_owned() as f64));
            let _ = write!(
                svg,
                "<rect x=\"{from:.1}\" y=\"{from_y:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>",
                (to - from).max(0.5)
            );
        }
    };
    shade(&partner.outages, "#f6d5d2", 8.0, HEIGHT - BOTTOM - 8.0);
    shade(&partner.waits, "#fdf0c4", HEIGHT - BOTTOM - 16.0, 16.0);
    for n in [0.0, top / 2.0, top] {
        let _ = write!(
            svg,
            "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{0:.1}\" y2=\"{0:.1}\" stroke=\"#ddd\"/><text x=\"{1}\" y=\"{2:.1}\" font-size=\"12\" text-anchor=\"end\" fill=\"#555\">{n}</text>",
            y(n),
            LEFT - 6.0,
            y(n) + 4.0
        );
    }
    for s in (0..=end_us / 1_000_000).step_by(5) {
        let _ = write!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" font-size=\"12\" text-anchor=\"middle\" fill=\"#555\">{s} s</text>",
            x(s as f64 * 1e6),
            HEIGHT - 6.0
        );
    }
    for (_, colour, dash, of) in SERIES {
        let points: Vec<String> = partner
            .seconds
            .iter()
            .enumerate()
            .map(|(n, s)| format!("{:.1},{:.1}", x((n as f64 + 0.5) * 1e6), y(f64::from(of(s)))))
            .collect();
        let _ = write!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.8\" stroke-dasharray=\"{dash}\"/>",
            points.join(" ")
        );
    }
    svg.push_str("</svg>");
    svg
}

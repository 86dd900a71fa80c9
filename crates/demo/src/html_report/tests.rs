//! Tests of the page.

use rudderspindle_testkit::checker::{Rule, Verdict, Violation};

use super::render;
use crate::statistics::{Counts, ReceiverStatistics, Statistics, TimeSpan};

fn receiver() -> ReceiverStatistics {
    let seconds = [(0, 0), (30, 25), (61, 50)].map(|(accepted, delivered)| Counts {
        accepted,
        delivered,
        rejected_calls: 2,
        in_flight: accepted - delivered,
    });
    let mut receiver = ReceiverStatistics::default();
    receiver.name = "Clubs & Co".to_owned();
    receiver.seconds = seconds.to_vec();
    receiver.total = Counts { accepted: 91, delivered: 75, rejected_calls: 6, in_flight: 16 };
    receiver.outages = vec![TimeSpan { from: 1_000_000, until: u64::MAX }];
    receiver.retry_afters = vec![TimeSpan { from: 2_000_000, until: 2_500_000 }];
    receiver
}

fn page(verdict: &Verdict) -> String {
    let mut statistics = Statistics::default();
    statistics.receivers.insert(1, receiver());
    render(&statistics, verdict, 3_000_000)
}

#[test]
fn the_page_has_each_receivers_counts_and_plot() {
    let html = page(&Verdict::default());
    assert!(html.contains("<h2>Clubs &amp; Co</h2>\n<p>91 accepted, 75 delivered, 6 calls rejected</p>"));
    assert_eq!(html.matches("<polyline").count(), 4, "one line for each figure");
    // The open outage ends with the run; 61 is plotted on a scale to 80.
    assert!(html.contains("<rect x=\"329.3\" y=\"8.0\" width=\"570.7\""), "{html}");
    assert!(html.contains(">80</text>"), "{html}");
}

#[test]
fn a_violated_rule_is_shown_with_its_number_of_violations() {
    let violation = Violation { rule: Rule::Draining, what: String::new(), lines: vec![1] };
    let verdict = Verdict { violations: vec![violation.clone(), violation], ..Verdict::default() };
    let html = page(&verdict);
    assert_eq!(html.matches("<td>kept</td>").count(), 5);
    assert_eq!(html.matches("violated 2 times").count(), 1);
}

//! Capacity shares alone beside permits, over the loss of datagrams; and two schemes for a bound beside one another.

use std::ops::Range;

use rudderspindle_simulation::leased::{Comparison, Conditions, Figures, compare};
use rudderspindle_simulation::partner::{Bound, Notes, Scene, Seen, max_calls_by_permits, play};

use super::totals::Totals;
use super::{BoundArgument, FleetArguments, LimitCase, OVERLOAD_MULTIPLE, limit_cases};
use crate::report::Report;

/// Shares of the datagrams that are lost, unless one is given.
const LOSSES: [f64; 5] = [0.0, 0.1, 0.5, 0.9, 1.0];
/// Spans in which the calls of senders with permits are checked, ms.
const SPANS: [f64; 4] = [100.0, 500.0, 1_000.0, 5_000.0];

/// What keeps a fleet to its limit, with its name in the table.
struct Mode {
    bound: Bound,
    name: &'static str,
}

const CAPACITY_SHARES: Mode = Mode { bound: Bound::Use, name: "use" };
const PERMITS: Mode = Mode { bound: Bound::Strict, name: "strict" };

/// Prints a row for each loss and limit case. A fleet with permits that starts more calls in a span than its bound, and
/// one that overloads a recovering receiver, is a failed check.
pub(super) fn run(seeds: &Range<u64>, fleet: &FleetArguments, ends: f64, report: &mut Report) {
    let modes: &[Mode] = match fleet.bound {
        BoundArgument::Use => &[CAPACITY_SHARES],
        BoundArgument::Strict => &[PERMITS],
        BoundArgument::Both => &[CAPACITY_SHARES, PERMITS],
    };
    let losses = fleet.lost.map_or(LOSSES.to_vec(), |lost| vec![lost]);
    println!("of each mode: use (share), worth (share), refusals per delivered, worst second (of the limit)");
    let heads: Vec<String> = modes.iter().map(|mode| format!("{:>33}", mode.name)).collect();
    println!("{:<5} {:<12} {}", "lost", "scene", heads.join(" |"));
    for &lost in &losses {
        for case in &limit_cases() {
            let cells = modes.iter().map(|mode| run_cell(seeds, fleet, ends, lost, case, mode, report));
            let row: Vec<String> = cells.collect();
            println!("{lost:<5} {:<12} {}", case.name, row.join(" |"));
        }
    }
    compare_schemes(seeds, fleet, &losses, report);
}

/// Simulates all seeds of one cell of the table; its text.
fn run_cell(
    seeds: &Range<u64>,
    fleet: &FleetArguments,
    ends: f64,
    lost: f64,
    case: &LimitCase,
    mode: &Mode,
    report: &mut Report,
) -> String {
    let mut totals = Totals::default();
    let key = format!("lost_{:.0}_{}_{}", lost * 100.0, case.name.replace(' ', "_"), mode.name);
    for seed in seeds.clone() {
        let base = fleet.scene(seed, case, ends);
        let notes = Some(Notes { lost, cut: 0.0..0.0 });
        let scene = Scene { peers: base.senders, notes, bound: mode.bound, ..base };
        let seen = play(&scene);
        totals.add(&scene, &seen);
        if mode.bound == Bound::Strict {
            check_bound(&key, &scene, &seen, report);
        }
    }
    if totals.worst_overload() > OVERLOAD_MULTIPLE {
        report.broken(format!("{key}: pushed to {:.2} times what it could do", totals.worst_overload()));
    }
    totals.report_with_worst_second(&key, report)
}

fn check_bound(key: &str, scene: &Scene, seen: &Seen, report: &mut Report) {
    for span in SPANS {
        let calls = seen.most_within(span) as f64;
        let bound = max_calls_by_permits(scene.told, span, scene.clocks);
        if calls > bound {
            let seed = scene.seed;
            report.broken(format!("{key}, seed {seed}: {calls} calls in {span} ms, {bound:.1} may be"));
        }
    }
}

/// Prints what permits and leased quotas come to without policies.
fn compare_schemes(seeds: &Range<u64>, fleet: &FleetArguments, losses: &[f64], report: &mut Report) {
    println!("without decision modules, each: use (share), worst second (of the limit)");
    println!("{:<5} {:>15} | {:>15}", "lost", "rights", "leased shares");
    for &lost in losses {
        let (senders, limit, load) = (usize::from(fleet.senders), fleet.limit, fleet.load);
        let conditions = seeds.clone().map(|seed| Conditions { senders, limit, load, lost, seed });
        let rounds: Vec<Comparison> = conditions.map(|conditions| compare(&conditions)).collect();
        let permits: Vec<Figures> = rounds.iter().map(|round| round.permits).collect();
        let quotas: Vec<Figures> = rounds.iter().map(|round| round.leased_quotas).collect();
        let row = [("rights", permits), ("leased", quotas)].map(|(name, rounds)| {
            let used = rounds.iter().map(|round| round.used).sum::<f64>() / rounds.len() as f64;
            let worst_second = rounds.iter().map(|round| round.worst_second).fold(0.0, f64::max);
            let key = format!("lost_{:.0}_{name}", lost * 100.0);
            report.figure(&format!("{key}_use_share"), used);
            report.figure(&format!("{key}_worst_second_ratio"), worst_second);
            format!("{used:>7.3} {worst_second:>7.2}")
        });
        println!("{lost:<5} {}", row.join(" | "));
    }
}

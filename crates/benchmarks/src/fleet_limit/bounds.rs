//! What notes leave to each beside turns, over the loss of notes; and two ways to hold a bound beside one another.

use std::ops::Range;

use rudderspindle_simulation::leased::{Comparison, Conditions, Figures, compare};
use rudderspindle_simulation::partner::{Bound, Notes, Scene, Seen, max_calls_by_permits, play};

use super::{FALLS_AT, FleetArguments, Held, Sum, strikes};
use crate::report::Report;

/// Shares of the notes that are lost if nothing else is said.
const LOST: [f64; 5] = [0.0, 0.1, 0.5, 0.9, 1.0];
/// Spans in which strict senders' calls are counted, ms.
const SPANS: [f64; 4] = [100.0, 500.0, 1_000.0, 5_000.0];

/// Prints a row for each loss and scene; a strict fleet that starts more in a span than its bound, or that pushes a cold
/// partner over, is a broken check.
pub(super) fn run(seeds: Range<u64>, fleet: &FleetArguments, ends: f64, report: &mut Report) {
    let modes: &[(Bound, &str)] = match fleet.bound {
        Held::Use => &[(Bound::Use, "use")],
        Held::Strict => &[(Bound::Strict, "strict")],
        Held::Both => &[(Bound::Use, "use"), (Bound::Strict, "strict")],
    };
    let losses = fleet.lost.map_or(LOST.to_vec(), |lost| vec![lost]);
    println!("of each mode: use (share), worth (share), refusals per delivered, worst second (of the limit)");
    let heads: Vec<String> = modes.iter().map(|(_, mode)| format!("{mode:>33}")).collect();
    println!("{:<5} {:<12} {}", "lost", "scene", heads.join(" |"));
    for &lost in &losses {
        for strike in &strikes() {
            let row = modes.iter().map(|&(bound, mode)| {
                let mut sum = Sum::default();
                let key = format!("lost_{:.0}_{}_{mode}", lost * 100.0, strike.0.replace(' ', "_"));
                for seed in seeds.clone() {
                    let (calm, notes) =
                        (fleet.scene(seed, strike, ends), Some(Notes { lost, cut: 0.0..0.0 }));
                    let scene = Scene { peers: calm.senders, notes, bound, ..calm };
                    let seen = play(&scene);
                    sum.add(&scene, &seen);
                    if bound == Bound::Strict {
                        check(&key, &scene, &seen, report);
                    }
                }
                if sum.push() > FALLS_AT {
                    report.broken(format!("{key}: pushed to {:.2} times what it could do", sum.push()));
                }
                sum.report_with_second(&key, report)
            });
            let row: Vec<String> = row.collect();
            println!("{lost:<5} {:<12} {}", strike.0, row.join(" |"));
        }
    }
    println!("without decision modules, each: use (share), worst second (of the limit)");
    println!("{:<5} {:>15} | {:>15}", "lost", "rights", "leased shares");
    for &lost in &losses {
        let played: Vec<_> = seeds
            .clone()
            .map(|seed| {
                let (senders, limit, load) = (usize::from(fleet.senders), fleet.limit, fleet.load);
                compare(&Conditions { senders, limit, load, lost, seed })
            })
            .collect();
        let schemes: [(&str, fn(&Comparison) -> Figures); 2] =
            [("rights", |played| played.permits), ("leased", |played| played.leased_quotas)];
        let row = schemes.iter().map(|(name, of)| {
            let used = played.iter().map(|played| of(played).used).sum::<f64>() / played.len() as f64;
            let second = played.iter().map(|played| of(played).worst_second).fold(0.0, f64::max);
            let key = format!("lost_{:.0}_{name}", lost * 100.0);
            report.figure(&format!("{key}_use_share"), used);
            report.figure(&format!("{key}_worst_second_ratio"), second);
            format!("{used:>7.3} {second:>7.2}")
        });
        println!("{lost:<5} {}", row.collect::<Vec<_>>().join(" | "));
    }
}

fn check(key: &str, scene: &Scene, seen: &Seen, report: &mut Report) {
    for span in SPANS {
        let (most, bound) =
            (seen.most_within(span) as f64, max_calls_by_permits(scene.told, span, scene.clocks));
        if most > bound {
            let seed = scene.seed;
            report.broken(format!("{key}, seed {seed}: {most} calls in {span} ms, {bound:.1} may be"));
        }
    }
}

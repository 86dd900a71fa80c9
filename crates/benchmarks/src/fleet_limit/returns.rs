//! What a partner that returns cold gets from all senders together, against what it bears: N and what chance may add.

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};

use rudderspindle_simulation::partner::{Limit, Notes, Outage, Push, Scene, Seen, play, while_warming};

use crate::report::Report;

/// What partners take, calls a second: small ones a figure drawn from this range.
const SMALL: Range<f64> = 3.0..8.0;
const LARGE: f64 = 75.0;
/// Up to so many senders tell one another nothing.
const SILENT: usize = 10;
/// How many senders are handed messages, one of so many, and messages over what the partner takes.
const LOADS: [(&str, usize, f64); 3] = [("all busy", 1, 0.9), ("few busy", 10, 0.9), ("overrun", 1, 3.0)];
/// How many messages come to each sender within the outage at the least.
const WORK: f64 = 2.0;
/// After its return, ms: the others begin anew then; and how long they are gone.
const RESTART: f64 = 1_500.0;
const GONE: f64 = 600.0;
/// So many scenes are played side by side.
const JOBS: usize = 3;

const OUTAGES: [(&str, Outage); 5] = [
    ("refused", Outage::Refuse),
    ("silent", Outage::Silent),
    ("errors", Outage::Errors { share: 0.9 }),
    ("shut, told", Outage::Shut { tells: 1.0 }),
    ("shut, untold", Outage::Shut { tells: 0.0 }),
];

/// What notes there are.
fn notes() -> [(&'static str, Option<Notes>); 4] {
    let lost = |lost| Some(Notes { lost, cut: 0.0..0.0 });
    let cut = Some(Notes { lost: 0.0, cut: 6_000.0..f64::INFINITY });
    [("none", None), ("all", lost(0.0)), ("half lost", lost(0.5)), ("cut", cut)]
}

/// A partner's outage and its return, with work for each of the busy senders.
fn scene(seed: u64, senders: usize, large: bool, (_, one_of, load): (&str, usize, f64)) -> Scene {
    let calm = Scene::draw(seed, |_| Outage::Refuse);
    let part = (calm.told - 6.0) / 18.0;
    let told = if large { LARGE } else { SMALL.start + (SMALL.end - SMALL.start) * part };
    let comes = (calm.until - calm.from) / 1_000.0 * load * told;
    let swell = (WORK * senders as f64 / comes).max(1.0);
    Scene {
        senders,
        busy: senders.div_ceil(one_of),
        peers: senders,
        limit: Limit::Span { carried: 0.5 },
        told,
        load,
        swell: (swell, calm.from..calm.until),
        ..calm
    }
}

/// Of many scenes.
#[derive(Default)]
struct Row {
    scenes: usize,
    over: [usize; 2],
    hardest: [Push; 2],
    by: [f64; 4],
    n: f64,
    served: Vec<f64>,
}

impl Row {
    fn add(&mut self, seen: &Seen, could: f64) {
        let of: [fn(&Push) -> f64; 2] = [Push::ratio, Push::told_ratio];
        for (n, of) in of.iter().enumerate() {
            self.over[n] += usize::from(of(&seen.push[n]) > 1.0);
            if self.hardest[n].n == 0.0 || of(&seen.push[n]) > of(&self.hardest[n]) {
                self.hardest[n] = seen.push[n];
            }
        }
        self.scenes += 1;
        self.n += seen.push[0].n;
        self.by.iter_mut().zip(seen.push[0].calls).for_each(|(sum, calls)| *sum += calls as f64);
        self.served.push(seen.served as f64 / could);
    }

    fn print(&self, name: &str, report: &mut Report) {
        let [all, told] = self.hardest;
        let share = |n: f64| n / (self.scenes as f64).max(1.0);
        let [over, told_over] = self.over.map(|n| share(n as f64));
        let [down, cold, failures, nothing] = self.by.map(|n| n / self.n.max(f64::MIN_POSITIVE));
        let served = share(self.served.iter().sum());
        println!(
            "{name:<34} {:>7.2} {over:>6.2} {:>8.2} {told_over:>6.2} {down:>9.2} {cold:>6.2} {failures:>6.2} \
            {nothing:>6.2} {served:>8.2}",
            all.ratio(),
            told.told_ratio(),
        );
        let key = name.replace([' ', ','], "_").replace("__", "_");
        report.figure(&format!("{key}_push_ratio"), all.ratio());
        report.figure(&format!("{key}_over_share"), over);
        report.figure(&format!("{key}_told_push_ratio"), told.told_ratio());
        report.figure(&format!("{key}_told_over_share"), told_over);
        report.figure(&format!("{key}_served_share"), served);
    }
}

/// Plays all of them, side by side.
fn played(scenes: &[Scene]) -> Vec<Seen> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            let Some(scene) = scenes.get(n) else { return done };
            done.push((n, play(scene)));
        }
    };
    let mut all: Vec<(usize, Seen)> = std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..JOBS).map(|_| scope.spawn(work)).collect();
        jobs.into_iter().flat_map(|job| job.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(n, _)| *n);
    all.into_iter().map(|(_, seen)| seen).collect()
}

/// Prints a row for each fleet, size of partner, kind of notes and spread of the load; each of so many seeds is played
/// with each outage, with no sender restarted and with a tenth of them. A row whose senders that had been told of the
/// outage pushed the partner over is a broken check.
pub(super) fn run(seeds: &Range<u64>, fleets: &[u16], report: &mut Report) {
    println!(
        "calls in the fall time over N + 2 root N + 2: hardest, share of the scenes over it; of told senders alone;"
    );
    println!(
        "in the hardest, over N, by senders that: probe, are in slow start, saw failures, know of nothing"
    );
    println!(
        "{:<34} {:>7} {:>6} {:>8} {:>6} {:>9} {:>6} {:>6} {:>6} {:>8}",
        "fleet", "hardest", "over", "told", "over", "probe", "slow", "failed", "none", "served"
    );
    for senders in fleets.iter().copied().map(usize::from) {
        for large in [false, true] {
            for (told, notes) in notes() {
                if notes.is_some() && senders <= SILENT {
                    continue;
                }
                for load in LOADS {
                    let size = if large { "large" } else { "small" };
                    let name = format!("{senders} {size}, notes {told}, {}", load.0);
                    let scenes: Vec<Scene> = seeds
                        .clone()
                        .flat_map(|seed| OUTAGES.iter().map(move |(_, outage)| (seed, *outage)))
                        .flat_map(|of| [(of, false), (of, true)])
                        .map(|((seed, outage), restarted)| {
                            let calm = scene(seed, senders, large, load);
                            let restart = restarted.then(|| (0..senders.div_ceil(10), calm.until + RESTART));
                            Scene { outage, notes: notes.clone(), restart, gone: GONE, ..calm }
                        })
                        .collect();
                    let mut row = Row::default();
                    for (scene, seen) in scenes.iter().zip(played(&scenes)) {
                        row.add(&seen, while_warming(scene.told));
                    }
                    row.print(&name, report);
                    if row.over[1] > 0 {
                        report.broken(format!("{name}: told senders pushed it over in {}", row.over[1]));
                    }
                }
            }
        }
    }
}

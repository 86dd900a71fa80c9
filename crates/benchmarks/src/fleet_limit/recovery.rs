//! What a recovering receiver gets from all senders together, against the calls that it tolerates.

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use rudderspindle_simulation::partner::{Limit, Notes, Outage, Push, Scene, Seen, play, while_warming};

use crate::report::Report;

/// Limits of small receivers, calls a second; each is drawn from this range.
const SMALL_LIMITS: Range<f64> = 3.0..8.0;
/// Limit of a large receiver, calls a second.
const LARGE_LIMIT: f64 = 75.0;
/// The largest fleet that is simulated without gossip only.
const MAX_SILENT_FLEET: usize = 10;
/// The least number of messages submitted to each busy sender during the outage.
const MIN_MESSAGES: f64 = 2.0;
/// When senders are killed, ms after the receiver's return.
const RESTART_AFTER: f64 = 1_500.0;
/// How long killed senders are down, ms.
const RESTART_DOWNTIME: f64 = 600.0;
/// One of so many senders is killed, in scenes with a restart.
const RESTARTED_ONE_OF: usize = 10;
/// Scenes that are simulated in parallel.
const JOBS: usize = 3;

const OUTAGES: [Outage; 5] = [
    Outage::Refuse,
    Outage::Silent,
    Outage::Errors { share: 0.9 },
    Outage::Shut { tells: 1.0 },
    Outage::Shut { tells: 0.0 },
];

/// How the load is spread over the fleet.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    /// One of so many senders gets messages.
    busy_one_of: usize,
    /// Messages over the limit.
    load: f64,
}

const LOADS: [Load; 3] = [
    Load { name: "all busy", busy_one_of: 1, load: 0.9 },
    Load { name: "few busy", busy_one_of: 10, load: 0.9 },
    Load { name: "overrun", busy_one_of: 1, load: 3.0 },
];

/// The fleet's gossip, with its name in the table.
struct Gossip {
    name: &'static str,
    notes: Option<Notes>,
}

fn gossip_cases() -> [Gossip; 4] {
    let with_loss = |lost| Some(Notes { lost, cut: 0.0..0.0 });
    let cut = Notes { lost: 0.0, cut: 6_000.0..f64::INFINITY };
    [
        Gossip { name: "none", notes: None },
        Gossip { name: "all", notes: with_loss(0.0) },
        Gossip { name: "half lost", notes: with_loss(0.5) },
        Gossip { name: "cut", notes: Some(cut) },
    ]
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReceiverSize {
    Small,
    Large,
}

impl ReceiverSize {
    fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Large => "large",
        }
    }

    /// The limit, calls a second, from that of a drawn scene.
    fn limit(self, drawn: f64) -> f64 {
        match self {
            Self::Small => {
                let fraction = (drawn - 6.0) / 18.0;
                SMALL_LIMITS.start + (SMALL_LIMITS.end - SMALL_LIMITS.start) * fraction
            }
            Self::Large => LARGE_LIMIT,
        }
    }
}

/// An outage and its end, with messages for each of the busy senders.
fn base_scene(seed: u64, senders: usize, size: ReceiverSize, load: Load) -> Scene {
    let drawn = Scene::draw(seed, |_| Outage::Refuse);
    let told = size.limit(drawn.told);
    let messages = (drawn.until - drawn.from) / 1_000.0 * load.load * told;
    let factor = (MIN_MESSAGES * senders as f64 / messages).max(1.0);
    Scene {
        senders,
        busy: senders.div_ceil(load.busy_one_of),
        peers: senders,
        limit: Limit::Span { carried: 0.5 },
        told,
        load: load.load,
        swell: (factor, drawn.from..drawn.until),
        ..drawn
    }
}

/// The scenes of a row: each seed with each outage, without a restart and with one.
fn row_scenes(
    seeds: &Range<u64>,
    senders: usize,
    size: ReceiverSize,
    gossip: &Gossip,
    load: Load,
) -> Vec<Scene> {
    let mut scenes = Vec::new();
    for seed in seeds.clone() {
        let base = base_scene(seed, senders, size, load);
        let restart = (0..senders.div_ceil(RESTARTED_ONE_OF), base.until + RESTART_AFTER);
        for outage in OUTAGES {
            for restart in [None, Some(restart.clone())] {
                let (notes, gone) = (gossip.notes.clone(), RESTART_DOWNTIME);
                scenes.push(Scene { outage, notes, restart, gone, ..base.clone() });
            }
        }
    }
    scenes
}

/// Simulates scenes in parallel; their figures in the same order.
fn play_all(scenes: &[Scene]) -> Vec<Seen> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(scene) = scenes.get(index) else { return done };
            done.push((index, play(scene)));
        }
    };
    let mut all: Vec<(usize, Seen)> = thread::scope(|scope| {
        let jobs: Vec<_> = (0..JOBS).map(|_| scope.spawn(work)).collect();
        jobs.into_iter().flat_map(|job| job.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(index, _)| *index);
    all.into_iter().map(|(_, seen)| seen).collect()
}

/// Figures of several scenes. The two elements of arrays are: all calls, and calls of senders that saw a failure.
#[derive(Default)]
struct Row {
    scenes: usize,
    overloaded: [usize; 2],
    worst: [Push; 2],
    /// Calls in the scenes' worst moments, by their senders' knowledge.
    calls: [f64; 4],
    /// The number of calls that overloads the receiver in these moments.
    bearable: f64,
    served: Vec<f64>,
}

impl Row {
    /// Adds a scene; `possible` is the number of calls that the receiver could serve during its recovery ramp.
    fn add(&mut self, seen: &Seen, possible: f64) {
        let ratios: [fn(&Push) -> f64; 2] = [Push::ratio, Push::told_ratio];
        for (index, ratio) in ratios.iter().enumerate() {
            let push = seen.push[index];
            self.overloaded[index] += usize::from(ratio(&push) > 1.0);
            if self.worst[index].n == 0.0 || ratio(&push) > ratio(&self.worst[index]) {
                self.worst[index] = push;
            }
        }
        self.scenes += 1;
        self.bearable += seen.push[0].n;
        for (sum, calls) in self.calls.iter_mut().zip(seen.push[0].calls) {
            *sum += calls as f64;
        }
        self.served.push(seen.served as f64 / possible);
    }

    /// Prints the row and adds its figures.
    fn report(&self, name: &str, report: &mut Report) {
        let [all, told] = self.worst;
        let share = |n: f64| n / (self.scenes as f64).max(1.0);
        let [over, told_over] = self.overloaded.map(|scenes| share(scenes as f64));
        let [down, cold, failures, nothing] = self.calls.map(|n| n / self.bearable.max(f64::MIN_POSITIVE));
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
        if self.overloaded[1] > 0 {
            report.broken(format!("{name}: told senders pushed it over in {}", self.overloaded[1]));
        }
    }
}

fn print_head() {
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
}

/// Prints a row for each fleet, size of receiver, kind of gossip and load. A row whose senders overload the receiver
/// although they saw a failure is a failed check.
pub(super) fn run(seeds: &Range<u64>, fleets: &[u16], report: &mut Report) {
    print_head();
    for senders in fleets.iter().copied().map(usize::from) {
        for size in [ReceiverSize::Small, ReceiverSize::Large] {
            for gossip in gossip_cases() {
                if gossip.notes.is_some() && senders <= MAX_SILENT_FLEET {
                    continue;
                }
                for load in LOADS {
                    let name = format!("{senders} {}, notes {}, {}", size.name(), gossip.name, load.name);
                    let scenes = row_scenes(seeds, senders, size, &gossip, load);
                    let mut row = Row::default();
                    for (scene, seen) in scenes.iter().zip(play_all(&scenes)) {
                        row.add(&seen, while_warming(scene.told));
                    }
                    row.report(&name, report);
                }
            }
        }
    }
}

//! Golden transcripts of a few senders: which datagrams they exchange and when, and what each knows at the end, as the
//! version before the renames had it.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    CallResult, DatagramBudget, DatagramClass, DemandExchange, Incarnation, Kind, LimitId, LocalDemand,
    LocalSender, PermitLedger, Receiver, RecoveryRamp,
};
use rudderspindle_gossip::{FleetView, OutgoingDatagram};

const START: UnixMillis = UnixMillis(1_700_000_000_000);
const STEP: u64 = 10;

/// Compares line by line with a golden file.
fn assert_golden(file: &str, transcript: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let golden = fs::read_to_string(path).expect("a golden file");
    for (number, (line, expected)) in transcript.lines().zip(golden.lines()).enumerate() {
        assert_eq!(line, expected, "line {} of {file}", number + 1);
    }
    assert_eq!(transcript.lines().count(), golden.lines().count(), "lines of {file}");
}

/// Writes a line for each datagram: milliseconds since the start, sender, receiver and bytes.
fn write_datagrams(transcript: &mut String, now: UnixMillis, from: usize, datagrams: &[OutgoingDatagram]) {
    for OutgoingDatagram { to, bytes: datagram } in datagrams {
        let hex: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(transcript, "{} {from} {to} {hex}", now.millis_since(START)).expect("written");
    }
}

/// Writes a line on whether the receiver accepted a datagram.
fn write_received(transcript: &mut String, receiver: usize, accepted: bool) {
    let outcome = if accepted { "heard" } else { "dropped" };
    writeln!(transcript, "{outcome} by {receiver}").expect("written");
}

/// Three gates, one of which refuses and one of which fails, at a sender that calls more the higher its number.
fn gates(now: UnixMillis, sender: usize) -> [LocalDemand; 3] {
    let called = now.millis_since(START) / 100 * (sender as u64 + 1);
    let own = |destination, receiver| {
        let gate = LimitId::of(destination, receiver);
        LocalDemand {
            limit_id: gate,
            limit: 60.0,
            demand: 20.0 * sender as f64,
            calls: called,
            rejected: 0,
            failed: 0,
        }
    };
    let refusing = LocalDemand { rejected: called / 3, ..own(513, Some("receiver-1")) };
    [own(7, None), refusing, LocalDemand { failed: called, limit: 30.0, ..own(8, None) }]
}

#[test]
fn the_demand_exchange_has_the_golden_transcript() {
    let mut fleets: Vec<DemandExchange> = (0..4)
        .map(|me| DemandExchange::new(me, 4, RecoveryRamp { initial_fraction: 0.28, growth_per_s: 0.15 }))
        .collect();
    let mut due: Vec<UnixMillis> = fleets.iter().map(|fleet| fleet.next_report(START)).collect();
    let mut transcript = String::new();
    for now in (0..2_500).step_by(STEP as usize).map(|millis| START + millis) {
        for from in 0..fleets.len() {
            let mut datagrams = Vec::new();
            if due[from] <= now {
                datagrams.extend(fleets[from].report(now, &gates(now, from)));
                due[from] = fleets[from].next_report(now);
            }
            if fleets[from].next_sums().is_some_and(|at| at <= now) {
                datagrams.extend(fleets[from].sums(now));
            }
            write_datagrams(&mut transcript, now, from, &datagrams);
            for OutgoingDatagram { to, bytes: datagram } in datagrams {
                let heard = fleets[to].receive(now, from, &datagram);
                write_received(&mut transcript, to, heard.is_ok());
            }
        }
    }
    for (me, fleet) in fleets.iter_mut().enumerate() {
        let capacities = fleet.capacities(START + 2_500).expect("word of others");
        for own in gates(START + 2_500, me) {
            let room = capacities.iter().find(|capacity| capacity.limit_id == own.limit_id);
            let room = room.map(|capacity| capacity.rate_per_demand);
            let (wanted, open) =
                (fleet.fleet_demand(own.limit_id), fleet.available_fraction(own.limit_id, own.limit));
            writeln!(transcript, "{me} {room:.6?} {wanted:.6} {open:.6}").expect("written");
        }
    }
    assert_golden("transcript-limits.txt", &transcript);
}

#[test]
fn the_permit_protocol_has_the_golden_transcript() {
    let new = |me| PermitLedger::new(me, 3, Incarnation(START.0 - 1_000 + me as u64), START);
    let mut tier: Vec<PermitLedger> = (0..3).map(new).collect();
    let mut due: Vec<UnixMillis> = tier.iter().map(|permits| permits.next_offer(START)).collect();
    let mut transcript = String::new();
    for now in (0..5_000).step_by(STEP as usize).map(|millis| START + millis) {
        for from in 0..tier.len() {
            let mut datagrams = Vec::new();
            if due[from] <= now {
                datagrams.extend(tier[from].offer(now, &gates(now, from)));
                due[from] = tier[from].next_offer(now);
            }
            if tier[from].next_allocation().is_some_and(|at| at <= now) {
                datagrams.extend(tier[from].allocate(now));
            }
            write_datagrams(&mut transcript, now, from, &datagrams);
            for OutgoingDatagram { to, bytes: datagram } in datagrams {
                let heard = tier[to].receive(now, from, &datagram);
                write_received(&mut transcript, to, heard.is_ok());
            }
        }
    }
    for (me, permits) in tier.iter().enumerate() {
        for own in gates(START, me) {
            for open in [1.0, 0.5] {
                let turns = permits.permits(START + 5_000, own.limit_id, open);
                let turns: Vec<(u64, u64, u64)> = turns
                    .iter()
                    .map(|turn| (turn.number, turn.from.millis_since(START), turn.until.millis_since(START)))
                    .collect();
                writeln!(transcript, "{me} {open} {turns:?}").expect("written");
            }
        }
    }
    assert_golden("transcript-rights.txt", &transcript);
}

/// The views of six senders in two zones.
fn fleet_views() -> Vec<FleetView> {
    let incarnation = Incarnation(START.0 - 10_000);
    let view = |number| {
        let complete_from = UnixMillis(incarnation.0);
        let local = LocalSender { number, incarnation, complete_from, max_messages_per_second: 100 };
        FleetView::new(local, vec![0, 0, 0, 0, 1, 1]).expect("a sender of the fleet")
    };
    (0..6).map(view).collect()
}

#[test]
fn the_fleet_view_has_the_golden_transcript() {
    let mut views = fleet_views();
    let budget =
        || DatagramBudget::new(&[DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 }]);
    let mut budgets: Vec<DatagramBudget> = (0..6).map(|_| budget()).collect();
    let receivers = ["a", "b", "c"].map(|receiver| Receiver::of(7, receiver));
    let mut transcript = String::new();
    for now in (0..6_000).step_by(100).map(|millis| START + millis) {
        for from in 0..views.len() {
            views[from].record_message(now, (now.0 / 300 % 4) as u16 * (from as u16 + 1));
            let result = if from < 4 { CallResult::Failed } else { CallResult::Answered };
            views[from].record_call(now, receivers[0], result);
            views[from].record_call(now, receivers[1], CallResult::Answered);
            let datagrams = views[from].due_datagrams(now, &mut budgets[from]);
            write_datagrams(&mut transcript, now, from, &datagrams);
            for OutgoingDatagram { to, bytes } in datagrams {
                let received = views[to].receive(now, from, &bytes);
                write_received(&mut transcript, to, received.is_ok());
            }
        }
    }
    for (number, view) in views.iter_mut().enumerate() {
        write_view(&mut transcript, START + 6_000, number, view, &receivers);
    }
    assert_golden("transcript-views.txt", &transcript);
}

/// Writes what a sender knows at the end.
fn write_view(
    transcript: &mut String,
    now: UnixMillis,
    number: usize,
    view: &mut FleetView,
    receivers: &[Receiver; 3],
) {
    for tenant in 0..4 {
        let read = view.usage().read(now, tenant, 5);
        let bounds = (read.min, read.max);
        let known = (read.senders, read.newest_epoch_end.map(|end| end.millis_since(START)));
        let quota = view.own_quota(now, tenant, 100.0);
        writeln!(transcript, "{number} {tenant} {bounds:?} {known:?} {quota:.6?}").expect("written");
    }
    let ejected = view.ejected(now, receivers);
    let ejected: Vec<bool> = receivers.iter().map(|receiver| ejected.contains(receiver)).collect();
    let alive: Vec<bool> = (0..6).map(|sender| view.members().is_alive(sender, now)).collect();
    writeln!(transcript, "{number} avoids {ejected:?} hears {alive:?}").expect("written");
}

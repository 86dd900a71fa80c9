//! Compares transcripts of a few senders with golden files: the datagrams that the senders exchange, and the final
//! state of each sender.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    CallResult, DatagramBudget, DatagramClass, DemandExchange, Incarnation, Kind, LimitId, LocalDemand,
    LocalSender, PermitLedger, ReceiverId, RecoveryRamp,
};
use rudderspindle_gossip::{FleetView, OutgoingDatagram};

const START: UnixMillis = UnixMillis(1_700_000_000_000);
/// Step of simulated time, in milliseconds.
const STEP: u64 = 10;

/// Asserts that each line of a transcript is the same as in a golden file.
fn assert_golden(file: &str, transcript: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let golden = fs::read_to_string(path).expect("the golden file is readable");
    for (number, (line, expected)) in transcript.lines().zip(golden.lines()).enumerate() {
        assert_eq!(line, expected, "line {} of {file}", number + 1);
    }
    assert_eq!(transcript.lines().count(), golden.lines().count(), "lines of {file}");
}

/// Writes a line for each datagram: milliseconds since the start, number of the sender, number of the recipient, and
/// bytes.
fn write_datagrams(transcript: &mut String, now: UnixMillis, from: usize, datagrams: &[OutgoingDatagram]) {
    for OutgoingDatagram { to, bytes: datagram } in datagrams {
        let hex: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(transcript, "{} {from} {to} {hex}", now.millis_since(START)).expect("writing to a string");
    }
}

/// Writes a line with whether the recipient accepted a datagram ("heard" in the golden files) or dropped it.
fn write_received(transcript: &mut String, recipient: usize, accepted: bool) {
    let verb = if accepted { "heard" } else { "dropped" };
    writeln!(transcript, "{verb} by {recipient}").expect("writing to a string");
}

/// Demand at three limits: at the first all calls succeed, at the second some are rejected, and at the third all fail.
/// Senders with higher numbers start more calls.
fn demands(now: UnixMillis, sender: usize) -> [LocalDemand; 3] {
    let call_count = now.millis_since(START) / 100 * (sender as u64 + 1);
    let healthy = |destination, receiver| {
        let limit_id = LimitId::of(destination, receiver);
        LocalDemand {
            limit_id,
            limit: 60.0,
            demand: 20.0 * sender as f64,
            calls: call_count,
            rejected: 0,
            failed: 0,
        }
    };
    let rejecting = LocalDemand { rejected: call_count / 3, ..healthy(513, Some("receiver-1")) };
    [healthy(7, None), rejecting, LocalDemand { failed: call_count, limit: 30.0, ..healthy(8, None) }]
}

#[test]
fn the_demand_exchange_matches_the_golden_transcript() {
    let mut exchanges: Vec<DemandExchange> = (0..4)
        .map(|number| {
            DemandExchange::new(number, 4, RecoveryRamp { initial_fraction: 0.28, growth_per_s: 0.15 })
        })
        .collect();
    let mut due_at: Vec<UnixMillis> = exchanges.iter().map(|exchange| exchange.next_report(START)).collect();
    let mut transcript = String::new();
    for now in (0..2_500).step_by(STEP as usize).map(|millis| START + millis) {
        for from in 0..exchanges.len() {
            let mut datagrams = Vec::new();
            if due_at[from] <= now {
                datagrams.extend(exchanges[from].report(now, &demands(now, from)));
                due_at[from] = exchanges[from].next_report(now);
            }
            if exchanges[from].next_sums().is_some_and(|due_at| due_at <= now) {
                datagrams.extend(exchanges[from].sums(now));
            }
            write_datagrams(&mut transcript, now, from, &datagrams);
            for OutgoingDatagram { to, bytes: datagram } in datagrams {
                let received = exchanges[to].receive(now, from, &datagram);
                write_received(&mut transcript, to, received.is_ok());
            }
        }
    }
    for (number, exchange) in exchanges.iter_mut().enumerate() {
        let capacities = exchange.capacities(START + 2_500).expect("sums were received");
        for local_demand in demands(START + 2_500, number) {
            let capacity = capacities.iter().find(|capacity| capacity.limit_id == local_demand.limit_id);
            let rate = capacity.map(|capacity| capacity.rate_per_demand);
            let fleet_demand = exchange.fleet_demand(local_demand.limit_id);
            let available_fraction = exchange.available_fraction(local_demand.limit_id, local_demand.limit);
            writeln!(transcript, "{number} {rate:.6?} {fleet_demand:.6} {available_fraction:.6}")
                .expect("writing to a string");
        }
    }
    assert_golden("transcript-limits.txt", &transcript);
}

#[test]
fn the_permit_protocol_matches_the_golden_transcript() {
    let ledger = |number| PermitLedger::new(number, 3, Incarnation(START.0 - 1_000 + number as u64), START);
    let mut ledgers: Vec<PermitLedger> = (0..3).map(ledger).collect();
    let mut due_at: Vec<UnixMillis> = ledgers.iter().map(|ledger| ledger.next_offer(START)).collect();
    let mut transcript = String::new();
    for now in (0..5_000).step_by(STEP as usize).map(|millis| START + millis) {
        for from in 0..ledgers.len() {
            let mut datagrams = Vec::new();
            if due_at[from] <= now {
                datagrams.extend(ledgers[from].offer(now, &demands(now, from)));
                due_at[from] = ledgers[from].next_offer(now);
            }
            if ledgers[from].next_allocation().is_some_and(|due_at| due_at <= now) {
                datagrams.extend(ledgers[from].allocate(now));
            }
            write_datagrams(&mut transcript, now, from, &datagrams);
            for OutgoingDatagram { to, bytes: datagram } in datagrams {
                let received = ledgers[to].receive(now, from, &datagram);
                write_received(&mut transcript, to, received.is_ok());
            }
        }
    }
    for (number, ledger) in ledgers.iter().enumerate() {
        for local_demand in demands(START, number) {
            for available_fraction in [1.0, 0.5] {
                let permits = ledger.permits(START + 5_000, local_demand.limit_id, available_fraction);
                let permits: Vec<(u64, u64, u64)> = permits
                    .iter()
                    .map(|permit| {
                        (permit.number, permit.from.millis_since(START), permit.until.millis_since(START))
                    })
                    .collect();
                writeln!(transcript, "{number} {available_fraction} {permits:?}")
                    .expect("writing to a string");
            }
        }
    }
    assert_golden("transcript-rights.txt", &transcript);
}

/// The views of six senders in two zones: four in zone 0 and two in zone 1.
fn fleet_views() -> Vec<FleetView> {
    let incarnation = Incarnation(START.0 - 10_000);
    let view = |number| {
        let complete_from = UnixMillis(incarnation.0);
        let local = LocalSender { number, incarnation, complete_from, max_messages_per_second: 100 };
        FleetView::new(local, vec![0, 0, 0, 0, 1, 1]).expect("the number is in the fleet")
    };
    (0..6).map(view).collect()
}

#[test]
fn the_fleet_view_matches_the_golden_transcript() {
    let mut views = fleet_views();
    let budget =
        || DatagramBudget::new(&[DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 }]);
    let mut budgets: Vec<DatagramBudget> = (0..6).map(|_| budget()).collect();
    let receivers = ["a", "b", "c"].map(|receiver| ReceiverId::of(7, receiver));
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

/// Writes the final state of one sender: the usage of four tenants, the ejected receivers and the live senders.
fn write_view(
    transcript: &mut String,
    now: UnixMillis,
    number: usize,
    view: &mut FleetView,
    receivers: &[ReceiverId; 3],
) {
    for tenant in 0..4 {
        let interval = view.usage().read(now, tenant, 5);
        let bounds = (interval.min, interval.max);
        let known_senders_and_end =
            (interval.senders, interval.newest_epoch_end.map(|end| end.millis_since(START)));
        let quota = view.own_quota(now, tenant, 100.0);
        writeln!(transcript, "{number} {tenant} {bounds:?} {known_senders_and_end:?} {quota:.6?}")
            .expect("writing to a string");
    }
    let ejected = view.ejected(now, receivers);
    let ejected: Vec<bool> = receivers.iter().map(|receiver| ejected.contains(receiver)).collect();
    let alive: Vec<bool> = (0..6).map(|sender| view.members().is_alive(sender, now)).collect();
    writeln!(transcript, "{number} avoids {ejected:?} hears {alive:?}").expect("writing to a string");
}

//! Hosts many senders on the simulator's wire: batches on standard input, replies on standard output.
#![forbid(unsafe_code)]

mod frame;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use frame::{Batch, Record, Reply};
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::*;
use rudderspindle_policy::settings;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rudderspindle-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let number = batch.number;
        let reply = host.answer(batch)?;
        output.write_all(&reply.bytes(number))?;
        output.flush()?;
    }
    Ok(())
}

#[derive(Default)]
struct Host {
    senders: BTreeMap<u32, Policy>,
    sheets: BTreeMap<u32, Vec<RouteEntry>>,
}

impl Host {
    fn answer(&mut self, batch: Batch) -> Result<Reply, String> {
        let mut pending: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        for record in batch.records {
            match record {
                Record::Up { instance, seed, info } => {
                    let settings = settings::parse(&info).map_err(|e| e.to_string())?;
                    let sender =
                        Policy::new(settings, seed).map_err(|e| format!("unreadable settings: {e}"))?;
                    self.senders.insert(instance, sender);
                    pending.insert(instance, Vec::new());
                }
                Record::PowerOff { instance } => {
                    self.senders.remove(&instance);
                    pending.remove(&instance);
                }
                Record::Sheet { set, entries } => {
                    self.sheets.insert(set, entries);
                }
                Record::Update { instance, kind, set } => {
                    let entries = || {
                        let sheet = self.sheets.get(&set).cloned();
                        sheet.ok_or_else(|| format!("malformed frame: list {set} was never sent"))
                    };
                    let change = match kind {
                        0 => ListChange::Full(entries()?),
                        1 => ListChange::Failed,
                        2 => ListChange::Delta(entries()?),
                        4 => ListChange::Cached(entries()?),
                        other => return Err(format!("malformed frame: unknown list kind {other}")),
                    };
                    pending.entry(instance).or_default().push(Event::List(change));
                }
                Record::Event { instance, event } => pending.entry(instance).or_default().push(event),
                Record::Peer { instance } => {
                    pending.entry(instance).or_default();
                }
            }
        }
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (instance, events) in pending {
            if let Some(sender) = self.senders.get_mut(&instance) {
                sender.handle(batch.now, &events, &mut actions);
                actions.drain(..).for_each(|action| reply.push(instance, &action));
            }
        }
        Ok(reply)
    }
}

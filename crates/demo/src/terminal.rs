//! Standard output: a table redrawn in place on a terminal, plain lines elsewhere.

use std::io::{IsTerminal, Write};

use crate::incident::Incident;
use crate::statistics::{ReceiverStatistics, Statistics};

/// Longest bar of messages in flight, characters.
const MAX_BAR_LEN: u32 = 30;

/// Standard output.
#[derive(Debug)]
pub struct Terminal {
    redraws_in_place: bool,
    /// Lines of the table on the terminal, which the next output replaces.
    table_lines: usize,
}

impl Terminal {
    /// Redraws in place if standard output is a terminal and `NO_COLOR` is not set.
    pub fn new() -> Self {
        let no_color = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self { redraws_in_place: std::io::stdout().is_terminal() && !no_color, table_lines: 0 }
    }

    /// Whether the table is redrawn in place.
    pub fn redraws_in_place(&self) -> bool {
        self.redraws_in_place
    }

    /// Prints an incident with its time, ms since the start.
    pub fn print_incident(&mut self, at: u64, incident: &Incident) {
        self.clear_table();
        println!("{:>6.1} s  {incident}", at as f64 / 1_000.0);
    }

    /// Prints the table in place of the previous one.
    pub fn print_table(&mut self, statistics: &Statistics) {
        self.clear_table();
        println!(
            "{:<18}{:>9}{:>11}{:>10}{:>11}",
            "receiver", "accepted", "delivered", "rejected", "in flight"
        );
        for receiver in statistics.receivers.values() {
            println!("{}", table_row(receiver));
        }
        if self.redraws_in_place {
            self.table_lines = statistics.receivers.len() + 1;
        }
        let _ = std::io::stdout().flush();
    }

    fn clear_table(&mut self) {
        if self.table_lines > 0 {
            // Cursor up to the table's first line, then erase to the end of the screen.
            print!("\x1b[{}A\x1b[J", self.table_lines);
            self.table_lines = 0;
        }
    }
}

fn table_row(receiver: &ReceiverStatistics) -> String {
    let ReceiverStatistics { name, total, .. } = receiver;
    let state = if receiver.is_down() { "down" } else { "" };
    let bar = "#".repeat(total.in_flight.min(MAX_BAR_LEN) as usize);
    let row = format!(
        "{name:<18}{:>9}{:>11}{:>10}{:>11}  {state:<5}{bar}",
        total.accepted, total.delivered, total.rejected_calls, total.in_flight
    );
    row.trim_end().to_owned()
}

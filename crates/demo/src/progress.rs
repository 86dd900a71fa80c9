//! Shows the progress of a running scenario.

use rudderspindle_testkit::event_log::EventLog;
use rudderspindle_testkit::scenario::Scenario;

use crate::statistics::Statistics;
use crate::terminal::Terminal;

/// Interval between tables where they are not redrawn in place, ms.
const PLAIN_TABLE_INTERVAL: u64 = 5_000;

/// The progress of one run.
#[derive(Debug)]
pub struct Progress {
    event_log: EventLog,
    /// Lines of the event log that have been counted.
    lines_read: usize,
    /// When the table was last printed, ms on the log's clock.
    table_printed_at: u64,
    statistics: Statistics,
    terminal: Terminal,
}

impl Progress {
    /// The progress of a scenario whose events are written to this log.
    pub fn new(event_log: EventLog, scenario: &Scenario) -> Self {
        Self {
            event_log,
            lines_read: 0,
            table_printed_at: 0,
            statistics: Statistics::new(scenario),
            terminal: Terminal::new(),
        }
    }

    /// What was counted so far.
    pub fn statistics(&self) -> &Statistics {
        &self.statistics
    }

    /// Prints new incidents, and the table if it is due.
    pub fn update(&mut self) {
        self.read_events();
        let now = self.event_log.now() / 1_000;
        if self.terminal.redraws_in_place() || now >= self.table_printed_at + PLAIN_TABLE_INTERVAL {
            self.terminal.print_table(&self.statistics);
            self.table_printed_at = now;
        }
    }

    /// Prints the last incidents and the final table.
    pub fn finish(&mut self) {
        self.read_events();
        self.terminal.print_table(&self.statistics);
    }

    fn read_events(&mut self) {
        let lines = self.event_log.lines_from(self.lines_read);
        self.lines_read += lines.len();
        for line in &lines {
            if let Some(incident) = self.statistics.record(line) {
                self.terminal.print_incident(line.t / 1_000, &incident);
            }
        }
    }
}

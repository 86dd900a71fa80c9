//! Applies each event of the log to the checker's state and checks it against the rules.

use super::{
    CallState, Checker, FinalOutcome, LogPosition, Message, ReceivedCall, SenderEndpoint, duplication, loss,
    ms_to_us,
};
use crate::event_log::{Event, ProcessState};

/// Status of a notification that reports a rejected message.
const DEFERRED: &str = "deferred";

impl Checker {
    /// Records an [`Event::Submitted`]; other events are ignored.
    pub(super) fn submitted(&mut self, at: LogPosition, event: &Event) {
        let Event::Submitted { message_id, sender, class, time_left_ms, ordering_key, .. } = event else {
            return;
        };
        self.accounting.submitted += 1;
        let Some(class_index) = self.topology.class_index(class) else { return };
        if let Some(key) = ordering_key.as_ref().filter(|_| self.topology.class(class_index).ordered) {
            let start_count = self.processes.start_count(sender);
            self.ordering.record_submission(sender, start_count, key, message_id);
        }
        let message = Message {
            class_index,
            sender: sender.clone(),
            submitted: at,
            deadline_us: at.time_us + ms_to_us(*time_left_ms),
            ordering_key: ordering_key.clone(),
            accepted_line: None,
            outcome: None,
            call_ids: Vec::new(),
            executions: 0,
        };
        self.table.add_message(message_id, message);
    }

    /// Records the response to a submission.
    pub(super) fn responded(&mut self, at: LogPosition, message_id: &str, status: u16) {
        self.accounting.count_response(status);
        let Some(message) = self.table.message_mut(message_id) else { return };
        match status {
            200 | 202 => message.accepted_line = message.accepted_line.or(Some(at.line)),
            429 | 503 => self.record_outcome(at, message_id, FinalOutcome::Rejected),
            _ => self.record_outcome(at, message_id, FinalOutcome::Failed),
        }
    }

    /// Records a notification that the platform acknowledged.
    pub(super) fn notified(&mut self, at: LogPosition, message_id: &str, status: &str) {
        let outcome = if status == DEFERRED { FinalOutcome::Rejected } else { FinalOutcome::Failed };
        self.record_outcome(at, message_id, outcome);
    }

    /// Records a final outcome and checks that it does not contradict the message's calls and earlier outcome.
    fn record_outcome(&mut self, at: LogPosition, message_id: &str, outcome: FinalOutcome) {
        if outcome == FinalOutcome::Rejected {
            let violation = duplication::check_rejection(&self.topology, &self.table, message_id, at.line);
            self.violations.extend(violation);
        }
        if let Some(message) = self.table.message_mut(message_id) {
            self.violations.extend(loss::record_outcome(message_id, message, outcome, at));
        }
    }

    pub(super) fn call_received(&mut self, call: &ReceivedCall<'_>) {
        let (topology, rules) = (&self.topology, &self.topology.rules);
        self.accounting.calls += 1;
        let overload = self.recovery.check_arrival(topology, call.sender, call.endpoint, call.at);
        self.violations.extend(overload);
        self.violations.extend(self.draining.check_call(call, rules));
        self.violations.extend(self.retry_after.check_call(topology, call));
        if let Some(message) = self.table.message(call.message_id) {
            let out_of_order =
                self.ordering.check_call(topology, &self.table, &self.processes, message, call);
            let duplicate = self.duplication.check_call(topology, &self.table, message, call);
            self.violations.extend(loss::check_call(message, call, rules));
            self.violations.extend(out_of_order);
            self.violations.extend(duplicate);
        } else {
            self.violations.push(loss::unknown_message(call));
        }
        let unobservable = self.lossy_links.contains(&SenderEndpoint::new(call.sender, call.endpoint));
        self.table.add_call(call, unobservable);
    }

    pub(super) fn call_answered(&mut self, at: LogPosition, id: u64, status: u16, retry_after_ms: u64) {
        let Some(call) = self.table.finish_call(id, CallState::Answered(status)) else { return };
        let (sender, message_id) = (call.sender.clone(), call.message_id.clone());
        let scope = self.topology.limit_scope(&call.endpoint);
        // A Retry-After on a link that loses responses did not reach the sender.
        let sender_received_retry_after = retry_after_ms > 0 && !call.unobservable;
        if matches!(status, 429 | 503) {
            self.accounting.calls_rejected += 1;
        }
        if status == 200 {
            self.record_outcome(at, &message_id, FinalOutcome::Delivered);
        } else {
            self.recovery.record_failure(&self.topology, &sender, &call.endpoint);
        }
        if let Some(scope) = scope.filter(|_| sender_received_retry_after) {
            self.retry_after.record(&sender, scope, at, retry_after_ms);
        }
    }

    pub(super) fn call_aborted(&mut self, at: LogPosition, id: u64) {
        let aborted = CallState::Aborted { at_us: at.time_us };
        if let Some(call) = self.table.finish_call(id, aborted) {
            self.recovery.record_failure(&self.topology, &call.sender, &call.endpoint);
        }
    }

    pub(super) fn health_checked(&mut self, at: LogPosition, sender: &str, endpoint: &str, ok: bool) {
        let overload = self.recovery.check_arrival(&self.topology, sender, endpoint, at);
        self.violations.extend(overload);
        if !ok {
            self.recovery.record_failure(&self.topology, sender, endpoint);
        }
    }

    /// Records that an outage of an endpoint begins or ends.
    pub(super) fn outage_changed(&mut self, at: LogPosition, endpoint: &str, kind: &str, begins: bool) {
        if begins {
            self.recovery.begin_outage(&self.topology, endpoint);
        } else {
            self.recovery.end_outage(&self.topology, endpoint, kind, at.time_us);
        }
    }

    /// Records whether the link between a sender and an endpoint loses responses from now on.
    pub(super) fn link_changed(&mut self, sender: &str, endpoint: &str, loses_responses: bool) {
        let link = SenderEndpoint::new(sender, endpoint);
        if loses_responses {
            self.table.mark_calls_unobservable(sender, endpoint);
            self.lossy_links.insert(link);
        } else {
            self.lossy_links.remove(&link);
        }
    }

    pub(super) fn process_changed(&mut self, at: LogPosition, sender: &str, state: ProcessState) {
        self.processes.change_state(sender, state, at.time_us);
        if state == ProcessState::Exited {
            self.retry_after.forget_sender(sender);
            self.recovery.forget_sender(sender);
        }
    }
}

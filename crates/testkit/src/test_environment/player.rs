//! Plays the scheduled events of a scenario, each in a task of its own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::failures::{Failures, RunFailure};
use super::links::ProxiedLink;
use crate::event_log::EventLog;
use crate::fake_discovery::FakeDiscovery;
use crate::fake_receiver::FakeReceiver;
use crate::program::{Program, ProgramError};
use crate::scenario::{DiscoveryFault, LinkFault, Ms, Outage, Phase, Scenario, ScheduledEvent};

/// Interval between the announcements of an endpoint list change to one sender and the next, in milliseconds.
const LIST_STAGGER_MS: u64 = 40;

/// The time span in which a fault is active.
#[derive(Clone, Copy)]
struct FaultWindow {
    begin: Instant,
    duration: Duration,
}

/// Plays the events of a scenario on the fakes and senders of the test environment.
pub(super) struct Player<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) receivers: &'a [Arc<FakeReceiver>],
    pub(super) discoveries: &'a [Arc<FakeDiscovery>],
    pub(super) programs: &'a [Arc<Mutex<Program>>],
    pub(super) links: &'a [Arc<ProxiedLink>],
    pub(super) event_log: &'a EventLog,
    pub(super) failures: &'a Failures,
    /// Start of the scenario, to which the events' times are relative.
    pub(super) start: Instant,
    /// The tasks of the events, which are cancelled when the set is dropped.
    pub(super) tasks: &'a mut JoinSet<()>,
}

impl Player<'_> {
    /// Schedules all events of the scenario.
    pub(super) fn schedule_all(&mut self) {
        let scenario = self.scenario;
        for event in &scenario.events {
            self.schedule(event);
        }
    }

    fn schedule(&mut self, event: &ScheduledEvent) {
        match event.clone() {
            ScheduledEvent::Outage { at_ms, duration_ms, receiver, endpoints, outage } => {
                self.schedule_outage(self.window(at_ms, duration_ms), receiver, endpoints, outage);
            }
            ScheduledEvent::PhaseChange { at_ms, endpoint, phase } => {
                self.schedule_list_change(at_ms, &endpoint, phase);
            }
            // This event needs no task, because `list_delay_ms` adds the delay to each list change.
            ScheduledEvent::ListDelay { .. } => {}
            ScheduledEvent::DiscoveryFault { at_ms, duration_ms, sender, fault } => {
                self.schedule_discovery_fault(self.window(at_ms, duration_ms), sender, fault);
            }
            ScheduledEvent::MoveDiscovery { at_ms, sender } => self.schedule_discovery_move(at_ms, sender),
            ScheduledEvent::LinkFault { at_ms, duration_ms, sender, receiver, fault } => {
                self.schedule_link_fault(self.window(at_ms, duration_ms), sender, receiver, fault);
            }
            ScheduledEvent::Kill { at_ms, sender, restart_after_ms } => {
                self.schedule_kill(at_ms, sender, restart_after_ms);
            }
            ScheduledEvent::Upgrade { at_ms, sender } => self.schedule_upgrade(at_ms, sender),
            ScheduledEvent::Restart { at_ms, sender, restart_after_ms } => {
                self.schedule_restart(at_ms, sender, restart_after_ms);
            }
        }
    }

    /// The instant of a time relative to the start of the scenario.
    fn at(&self, time: Ms) -> Instant {
        self.start + time.duration()
    }

    fn window(&self, begin: Ms, duration: Ms) -> FaultWindow {
        FaultWindow { begin: self.at(begin), duration: duration.duration() }
    }

    fn schedule_outage(&mut self, window: FaultWindow, number: u16, endpoints: Vec<String>, outage: Outage) {
        let receiver = self.receivers.iter().find(|receiver| receiver.plan().number == number);
        let Some(receiver) = receiver.cloned() else { return };
        self.tasks.spawn(async move {
            sleep_until(window.begin.into()).await;
            receiver.fail(&endpoints, outage, window.duration).await;
        });
    }

    fn schedule_list_change(&mut self, at_ms: Ms, endpoint: &str, phase: Phase) {
        let delay_ms = self.list_delay_ms(at_ms.get());
        for (index, discovery) in self.discoveries.iter().enumerate() {
            let (discovery, endpoint) = (discovery.clone(), endpoint.to_owned());
            let stagger_ms = LIST_STAGGER_MS * index as u64;
            let when = self.at(at_ms) + Duration::from_millis(delay_ms + stagger_ms);
            self.tasks.spawn(async move {
                sleep_until(when.into()).await;
                discovery.change(&endpoint, phase);
            });
        }
    }

    /// Delay after which a change of the endpoint list at this time reaches the first sender.
    fn list_delay_ms(&self, at_ms: u64) -> u64 {
        let additional_delays = self.scenario.events.iter().filter_map(|event| match event {
            ScheduledEvent::ListDelay { at_ms: begin, duration_ms, delay_ms } => {
                let is_delayed = (begin.get()..begin.get() + duration_ms.get()).contains(&at_ms);
                is_delayed.then(|| delay_ms.get())
            }
            _ => None,
        });
        self.scenario.list_delay_ms.get() + additional_delays.max().unwrap_or(0)
    }

    fn schedule_discovery_fault(&mut self, window: FaultWindow, sender: usize, fault: DiscoveryFault) {
        let discovery = self.discoveries[sender].clone();
        self.tasks.spawn(async move {
            sleep_until(window.begin.into()).await;
            discovery.set_fault(fault, true);
            sleep(window.duration).await;
            discovery.set_fault(fault, false);
        });
    }

    fn schedule_discovery_move(&mut self, at_ms: Ms, sender: usize) {
        let (when, failures) = (self.at(at_ms), self.failures.clone());
        let (discovery, program) = (self.discoveries[sender].clone(), self.programs[sender].clone());
        self.tasks.spawn(async move {
            sleep_until(when.into()).await;
            let relocation = async {
                // The lock excludes the time between a process's start and its readiness, when it may not have read the file.
                let mut program = program.lock().await;
                let addr = discovery.relocate().await?.to_string();
                program.reconfigure(&[("discovery", addr.into())]).await
            };
            failures.check(relocation.await);
        });
    }

    fn schedule_link_fault(&mut self, window: FaultWindow, sender: usize, receiver: u16, fault: LinkFault) {
        let is_affected = |link: &&Arc<ProxiedLink>| link.sender == sender && link.receiver == receiver;
        for link in self.links.iter().filter(is_affected) {
            let (link, event_log) = (link.clone(), self.event_log.clone());
            self.tasks.spawn(async move {
                sleep_until(window.begin.into()).await;
                link.set_fault(fault, true, &event_log);
                sleep(window.duration).await;
                link.set_fault(fault, false, &event_log);
            });
        }
    }

    fn schedule_kill(&mut self, at_ms: Ms, sender: usize, restart_after_ms: Ms) {
        let (when, failures) = (self.at(at_ms), self.failures.clone());
        let (discovery, program) = (self.discoveries[sender].clone(), self.programs[sender].clone());
        self.tasks.spawn(async move {
            sleep_until(when.into()).await;
            let mut program = program.lock().await;
            let killed = program.kill().await;
            let restarted = restart(&mut program, &discovery, restart_after_ms).await;
            failures.check(killed.and(restarted));
        });
    }

    fn schedule_upgrade(&mut self, at_ms: Ms, sender: usize) {
        let (when, failures) = (self.at(at_ms), self.failures.clone());
        let program = self.programs[sender].clone();
        self.tasks.spawn(async move {
            sleep_until(when.into()).await;
            let exited_cleanly = program.lock().await.upgrade().await;
            failures.check_exit(exited_cleanly, RunFailure::UncleanTakeover);
        });
    }

    fn schedule_restart(&mut self, at_ms: Ms, sender: usize, restart_after_ms: Ms) {
        let (when, failures) = (self.at(at_ms), self.failures.clone());
        let (discovery, program) = (self.discoveries[sender].clone(), self.programs[sender].clone());
        self.tasks.spawn(async move {
            sleep_until(when.into()).await;
            let mut program = program.lock().await;
            let exited_cleanly = program.stop().await;
            failures.check(restart(&mut program, &discovery, restart_after_ms).await);
            failures.check_exit(exited_cleanly, RunFailure::UncleanExit);
        });
    }
}

/// Starts a sender again after a delay, with the current endpoint list as the known endpoints in its configuration.
async fn restart(program: &mut Program, discovery: &FakeDiscovery, delay_ms: Ms) -> Result<(), ProgramError> {
    sleep(delay_ms.duration()).await;
    let reconfigured = program.reconfigure(&[("known", discovery.list())]).await;
    reconfigured.and(program.start().await)
}

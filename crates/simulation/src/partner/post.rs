//! Notes between the senders of a scene.

use rudderspindle_gossip::OutgoingDatagram;
use rudderspindle_policy::interface::Millis;

use super::TICK;
use super::client::Client;
use super::draw::Draw;
use super::scene::Notes;
use super::seen::Seen;

/// What a note is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum About {
    Sums,
    PermitLedger,
}

/// A note on its way.
struct OnItsWay {
    arrives: Millis,
    about: About,
    from: usize,
    to: usize,
    note: Vec<u8>,
}

/// Carries notes, and loses some.
pub(super) struct DatagramBudget {
    draw: Draw,
    notes: Vec<OnItsWay>,
}

/// The wall clock when a scene begins, ms.
const DAWN: u64 = 1_700_000_000_000;
/// How long a note is under way, ms.
const UNDER_WAY: (f64, f64) = (1.5, 30.0);

/// The wall clock of one that is so far ahead, ms.
pub(super) fn wall(now: Millis, ahead: u64) -> u64 {
    DAWN + now as u64 + ahead
}

impl DatagramBudget {
    pub fn new(seed: u64) -> Self {
        Self { draw: Draw::new(seed), notes: Vec::new() }
    }

    /// Delivers what is due, and takes what the senders tell now.
    pub fn pass(&mut self, notes: &Notes, now: Millis, clients: &mut [Client], seen: &mut Seen) {
        let arrived: Vec<_> = self.notes.extract_if(.., |note| note.arrives <= now).collect();
        for OnItsWay { about, from, to, note, .. } in arrived {
            let client = &mut clients[to];
            let wall = wall(now, client.ahead);
            if !client.up {
                continue;
            }
            seen.note_bytes += note.len();
            // One that comes too late is dropped, as it would be.
            match about {
                About::Sums => drop(client.fleet.receive(wall, from, &note)),
                About::PermitLedger => drop(client.hear_rights(wall, from, &note)),
            }
        }
        for (n, client) in clients.iter_mut().enumerate().filter(|(_, client)| client.up) {
            let wall = wall(now, client.ahead);
            let sums_due = client.fleet.next_sums().is_some_and(|at| at <= wall);
            let mut datagrams = if sums_due { client.fleet.sums(wall) } else { Vec::new() };
            if client.fleet.next_report(wall - TICK as u64) <= wall {
                datagrams.extend(client.report(wall));
            }
            self.take(notes, now, n, About::Sums, datagrams);
            let datagrams = client.keep_rights(wall, TICK as u64);
            self.take(notes, now, n, About::PermitLedger, datagrams);
        }
    }

    fn take(
        &mut self,
        notes: &Notes,
        now: Millis,
        from: usize,
        about: About,
        datagrams: Vec<OutgoingDatagram>,
    ) {
        for OutgoingDatagram { to, bytes: note } in datagrams {
            let lost = notes.cut.contains(&now) || self.draw.unit() < notes.lost;
            let arrives = now + UNDER_WAY.0 + (UNDER_WAY.1 - UNDER_WAY.0) * self.draw.unit();
            if !lost {
                self.notes.push(OnItsWay { arrives, about, from, to, note });
            }
        }
    }
}

//! Notes between the senders of a scene.

use rudderspindle_decide::interface::Millis;

use super::TICK;
use super::client::Client;
use super::draw::Draw;
use super::scene::Notes;
use super::seen::Seen;

/// Notes on their way: when they arrive, from whom, to whom.
pub(super) struct Post {
    pub draw: Draw,
    pub letters: Vec<(Millis, usize, usize, Vec<u8>)>,
}

/// The wall clock when a scene begins, ms.
const DAWN: u64 = 1_700_000_000_000;
/// How long a note is under way, ms.
const UNDER_WAY: (f64, f64) = (1.5, 30.0);

impl Post {
    /// Delivers what is due, and takes what the senders tell now.
    pub fn pass(&mut self, notes: &Notes, now: Millis, clients: &mut [Client], seen: &mut Seen) {
        let wall = DAWN + now as u64;
        let due = |letter: &(Millis, usize, usize, Vec<u8>)| letter.0 <= now;
        let arrived: Vec<_> = self.letters.extract_if(.., |letter| due(letter)).collect();
        for (_, from, to, note) in arrived {
            seen.note_bytes += note.len();
            // One that comes too late is dropped, as it would be.
            let _ = clients[to].fleet.hear(wall, from, &note);
        }
        for (n, client) in clients.iter_mut().enumerate() {
            let sums_due = client.fleet.next_sums().is_some_and(|at| at <= wall);
            let mut letters = if sums_due { client.fleet.sums(wall) } else { Vec::new() };
            if client.fleet.next_report(wall - TICK as u64) <= wall {
                letters.extend(client.report(wall));
            }
            for (to, note) in letters {
                let lost = notes.cut.contains(&now) || self.draw.unit() < notes.lost;
                let at = now + UNDER_WAY.0 + (UNDER_WAY.1 - UNDER_WAY.0) * self.draw.unit();
                if !lost {
                    self.letters.push((at, n, to, note));
                }
            }
        }
    }
}

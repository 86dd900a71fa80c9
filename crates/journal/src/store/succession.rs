//! An owner that leaves half of the disk to its successor, and a successor that becomes the owner.

use super::*;

impl Store {
    /// Whether what the folder held before us is ours, too.
    pub fn is_owner(&self) -> bool {
        self.claim.is_owner()
    }

    /// Makes a successor the owner, if the owner has ended: what that still owed is ours from now on. `None` as
    /// long as it has not, and for one that is the owner already.
    ///
    /// An id that both know is ours as we know it: the older one's message is ended.
    ///
    /// # Errors
    ///
    /// What the file system says of the older segments; to try again is safe.
    pub fn succeed(&mut self) -> io::Result<Option<TakenOver>> {
        if !self.claim.is_vacant()? {
            return Ok(None);
        }
        let first = self.segments.oldest();
        let numbers: Vec<u64> = numbers(&self.folder)?.into_iter().filter(|&n| n < first).collect();
        let mut contents = Contents::default();
        let older = read(&self.folder, &numbers, &mut contents)?;
        self.claim.succeed()?;
        self.segments.put_before(older);
        self.budget = self.disk;
        let mut over = TakenOver::default();
        for (message_id, entry) in contents.entries {
            if self.entries.contains_key(&message_id) {
                continue;
            }
            match &entry.state {
                State::Open(message) => over.open.push(message.clone()),
                State::Owed(status) => {
                    over.owed.push(Notice { message_id: message_id.clone(), status: *status })
                }
            }
            self.live += entry.room(&message_id);
            self.entries.insert(message_id, entry);
        }
        self.latest_attempt = self.latest_attempt.max(contents.latest_attempt);
        // What we know ourselves is newer.
        self.outage_records.add_older(contents.outage_records);
        if let Err(error) = self.make_room() {
            tracing::warn!("journal: no room could be made: {error}");
        }
        Ok(Some(over))
    }

    /// Leaves half of the disk to a successor, or takes it back when there is none any more.
    ///
    /// # Errors
    ///
    /// What the file system says; the half is then left as far as it could be.
    pub fn share(&mut self, with_successor: bool) -> io::Result<()> {
        let half = self.disk / 2;
        let made = if with_successor { self.make_room_to(half.saturating_sub(RESERVE)) } else { Ok(()) };
        self.budget = if with_successor { half } else { self.disk };
        made
    }
}

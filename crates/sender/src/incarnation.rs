//! The incarnation number of this process, larger than those of all earlier processes with the same state folder.

use std::io;
use std::path::Path;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::Incarnation;

/// Name of the file in the state folder that holds the last number, as text.
const FILE: &str = "incarnation";

/// Starts an incarnation and stores its number, which must happen before it is first announced. Without a readable file the
/// number is that of the clock, `now`.
///
/// # Errors
///
/// The file system's error if the number cannot be stored.
pub(crate) fn start(state_folder: &Path, now: UnixMillis) -> io::Result<Incarnation> {
    let file = state_folder.join(FILE);
    let last = std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse().ok());
    let next = Incarnation::next(last.map(Incarnation), now);
    let temporary_file = state_folder.join(format!("{FILE}.new"));
    std::fs::write(&temporary_file, next.0.to_string())?;
    std::fs::rename(temporary_file, file)?;
    Ok(next)
}

#[cfg(test)]
mod tests;

//! The incarnation number of this process; it is larger than the numbers of all earlier processes with the same state
//! folder.

use std::io;
use std::path::Path;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::Incarnation;

/// Name of the file in the state folder that contains the last incarnation number as decimal text.
const FILE_NAME: &str = "incarnation";

/// Starts an incarnation: chooses its number and stores the number in the state folder. The number must be stored
/// before it is first announced to other senders, because a later process must not use it again. If no stored number
/// can be read, the number is taken from the wall clock time `now`.
///
/// # Errors
///
/// The error of the file system if the number cannot be stored.
pub(crate) fn start(state_folder: &Path, now: UnixMillis) -> io::Result<Incarnation> {
    let file = state_folder.join(FILE_NAME);
    let last = std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse().ok());
    let next = Incarnation::next(last.map(Incarnation), now);
    let temporary_file = state_folder.join(format!("{FILE_NAME}.new"));
    std::fs::write(&temporary_file, next.0.to_string())?;
    std::fs::rename(temporary_file, file)?;
    Ok(next)
}

#[cfg(test)]
mod tests;

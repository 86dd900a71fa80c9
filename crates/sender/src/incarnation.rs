//! Which life of this sender a process is, kept in the state folder: each start has a larger number than all before.

use std::io;
use std::path::Path;

use rudderspindle_gossip::Incarnation;

/// The file in the state folder: the number as text, a block on disk.
const FILE: &str = "incarnation";

/// Begins a life: it is kept before anybody is told of it. Where the folder is empty, or the file cannot be read, the clock
/// (ms since 1970) alone tells.
///
/// # Errors
///
/// What the file system says where it cannot be kept.
pub(crate) fn begin(state: &Path, wall: u64) -> io::Result<Incarnation> {
    let (file, fresh) = (state.join(FILE), state.join(format!("{FILE}.new")));
    let kept = std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse().ok());
    let next = Incarnation::next(kept.map(Incarnation), wall);
    std::fs::write(&fresh, next.0.to_string())?;
    std::fs::rename(fresh, file)?;
    Ok(next)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_life_is_later_than_the_one_before_whatever_the_clock_says() {
        let state = tempfile::tempdir().expect("a folder");
        let begin = |wall| begin(state.path(), wall).expect("it is kept");
        assert_eq!(begin(1_000), Incarnation(1_000));
        assert_eq!(begin(1_000), Incarnation(1_001));
        assert_eq!(begin(500), Incarnation(1_002));
        assert_eq!(begin(9_000), Incarnation(9_000));
        std::fs::write(state.path().join(FILE), "torn").expect("written");
        assert_eq!(begin(9_500), Incarnation(9_500));
    }
}

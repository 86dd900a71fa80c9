//! The state folder of a program.

use std::path::{Path, PathBuf};

use tempfile::TempDir;

/// Block size of the file system, in bytes.
const BLOCK_LEN: u64 = 512;

/// A temporary folder, removed when dropped, with a state folder in it.
pub struct Folder {
    /// Path of the state folder.
    pub state: PathBuf,
    /// Removes the folder when dropped.
    pub root: TempDir,
}

/// A state folder that outlasts programs.
pub fn persistent_folder() -> Folder {
    let root = tempfile::tempdir().expect("a folder");
    let state = root.path().join("state");
    std::fs::create_dir(&state).expect("a folder");
    Folder { state, root }
}

/// The bytes of all files in the folder, each in whole blocks.
pub fn disk_use(state: &Path) -> u64 {
    let files = std::fs::read_dir(state).expect("a folder");
    // A segment may be removed during the iteration.
    files.filter_map(|f| f.ok()?.metadata().ok()).map(|m| m.len().next_multiple_of(BLOCK_LEN)).sum()
}

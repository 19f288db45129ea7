//! Files that other processes read while they are written.

use std::{fs, io, path::Path};

/// Replaces a file by a rename, so that no reader finds it empty or half written.
///
/// # Errors
///
/// Fails if the file beside it cannot be written or renamed.
pub fn write_whole(path: &Path, text: &str) -> io::Result<()> {
    let beside = path.with_extension("new");
    fs::write(&beside, text)?;
    fs::rename(&beside, path)
}

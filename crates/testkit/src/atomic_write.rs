//! Atomic replacement of files that other processes read at the same time.

use std::{fs, io, path::Path};

/// Replaces a file's content atomically, so that readers never see it empty or partially written.
///
/// Writes a temporary file next to it, with the extension `new`, and renames that file.
///
/// # Errors
///
/// Fails if the temporary file cannot be written or renamed.
pub fn write_atomically(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension("new");
    fs::write(&temporary, text)?;
    fs::rename(&temporary, path)
}

//! `hawthornctl keys`.

use crate::{arguments::KeysCommand, error::CtlError};
use peer::KeyForge;

/// Makes a key folder.
pub fn run(command: &KeysCommand) -> Result<(), CtlError> {
    let usage = |error: peer::KeyError| CtlError::Usage(error.to_string());
    let (KeysCommand::Host { authority, out, .. } | KeysCommand::Operator { authority, out, .. }) =
        command;
    let forge = KeyForge::open(authority).map_err(usage)?;
    match command {
        KeysCommand::Host { name, days, .. } => forge.issue_host(name.as_str(), *days, out),
        KeysCommand::Operator { name, days, .. } => forge.issue_operator(name.as_str(), *days, out),
    }
    .map_err(usage)?;
    println!("{}", out.display());
    Ok(())
}

//! `hawthornctl keys`.

use crate::{arguments::KeysCommand, error::CtlError};
use peer::KeyIssuer;

/// Creates a key folder and prints its path.
pub fn run(command: &KeysCommand) -> Result<(), CtlError> {
    let usage = |error: peer::KeyError| CtlError::Usage(error.to_string());
    let (KeysCommand::Host(key) | KeysCommand::Operator(key)) = command;
    let issuer = KeyIssuer::open(&key.authority).map_err(usage)?;
    let name = key.name.as_str();
    match command {
        KeysCommand::Host(_) => issuer.issue_host(name, key.days, &key.out),
        KeysCommand::Operator(_) => issuer.issue_operator(name, key.days, &key.out),
    }
    .map_err(usage)?;
    println!("{}", key.out.display());
    Ok(())
}

//! Validated names. Each is an immutable shared string, cheap to clone and to compare.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr, sync::Arc};
use thiserror::Error;

const MAX_NAME_BYTES: usize = 63;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("name is empty")]
    Empty,
    /// The text is longer than 63 bytes.
    #[error("name has {0} bytes, more than 63")]
    TooLong(usize),
    /// The text contains a character other than `a-z`, `0-9`, `-` and `.`.
    #[error("name {0:?} may hold only a-z, 0-9, '-' and '.'")]
    BadCharacter(String),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    if text.chars().all(allowed) { Ok(()) } else { Err(NameError::BadCharacter(text.to_owned())) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type!(
    /// The name of a service.
    ServiceName
);
name_type!(
    /// The name of a team that owns one configuration document.
    TeamName
);
name_type!(
    /// The name of a failure domain.
    DomainName
);
name_type!(
    /// The name of a host that runs a process of the system.
    HostName
);
name_type!(
    /// The name of an entry; equal to the name of its host.
    EntryName
);
name_type!(
    /// The name of a server, unique across all services.
    ServerName
);

//! Declaration library: a team describes its services in Rust and prints the resulting document.
//!
//! ```
//! use hawthornhill_operator::{Declaration, ServiceDeclaration};
//!
//! let document = Declaration::new("depots")
//!     .service(ServiceDeclaration::new("zaloga", 0).timeout_ms(1_000))
//!     .service(ServiceDeclaration::new("najem", 1).never_repeat("POST", "/"))
//!     .build()?;
//! assert!(document.to_json().contains("najem"));
//! # Ok::<(), types::DocumentError>(())
//! ```

use types::{DocumentError, NonRepeatableRule, ServiceSpec, TeamDocument};

/// Builder of a team's document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    team: String,
    services: Vec<ServiceDeclaration>,
}

/// Builder of one service in a team's document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDeclaration {
    name: String,
    priority: u8,
    non_repeatable: Vec<NonRepeatableRule>,
    timeout_ms: Option<u32>,
    retry_percent: Option<u8>,
    hedge_percent: Option<u8>,
    cold_concurrency: Option<u16>,
    probes_per_minute: Option<u16>,
}

impl Declaration {
    /// Returns a declaration without services for a team.
    pub fn new(team: &str) -> Self {
        Self { team: team.to_owned(), services: Vec::new() }
    }

    /// Adds a service.
    pub fn service(mut self, service: ServiceDeclaration) -> Self {
        self.services.push(service);
        self
    }

    /// Validates the declaration and returns the document. Errors name the invalid field.
    pub fn build(self) -> Result<TeamDocument, DocumentError> {
        let team = parse_name("team", &self.team)?;
        let mut services = Vec::with_capacity(self.services.len());
        for (index, service) in self.services.into_iter().enumerate() {
            services.push(service.build(&format!("services[{index}]"))?);
        }
        let document = TeamDocument { team, services };
        document.verify()?;
        Ok(document)
    }
}

impl ServiceDeclaration {
    /// Returns a service with default settings and a priority from 0 (highest) to 9 (lowest).
    pub fn new(name: &str, priority: u8) -> Self {
        Self {
            name: name.to_owned(),
            priority,
            non_repeatable: Vec::new(),
            timeout_ms: None,
            retry_percent: None,
            hedge_percent: None,
            cold_concurrency: None,
            probes_per_minute: None,
        }
    }

    /// Declares that requests with this method (`*` for any) and path prefix must not be repeated.
    pub fn never_repeat(mut self, method: &str, path: &str) -> Self {
        self.non_repeatable
            .push(NonRepeatableRule { method: method.to_owned(), path: path.to_owned() });
        self
    }

    /// Sets the time allowed for a request, in milliseconds.
    pub fn timeout_ms(mut self, timeout_ms: u32) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    /// Sets the maximum number of retries, in percent of requests.
    pub fn retry_percent(mut self, percent: u8) -> Self {
        self.retry_percent = Some(percent);
        self
    }

    /// Sets the maximum number of hedged requests, in percent of requests.
    pub fn hedge_percent(mut self, percent: u8) -> Self {
        self.hedge_percent = Some(percent);
        self
    }

    /// Sets the initial limit on concurrent requests at a cold server.
    pub fn cold_concurrency(mut self, concurrency: u16) -> Self {
        self.cold_concurrency = Some(concurrency);
        self
    }

    /// Sets the maximum number of probes per minute for each server.
    pub fn probes_per_minute(mut self, probes: u16) -> Self {
        self.probes_per_minute = Some(probes);
        self
    }

    fn build(self, path: &str) -> Result<ServiceSpec, DocumentError> {
        let name = parse_name(&format!("{path}.name"), &self.name)?;
        let defaults = ServiceSpec::new(name, self.priority);
        Ok(ServiceSpec {
            non_repeatable: self.non_repeatable,
            timeout_ms: self.timeout_ms.unwrap_or(defaults.timeout_ms),
            retry_percent: self.retry_percent.unwrap_or(defaults.retry_percent),
            hedge_percent: self.hedge_percent.unwrap_or(defaults.hedge_percent),
            cold_concurrency: self.cold_concurrency.unwrap_or(defaults.cold_concurrency),
            probes_per_minute: self.probes_per_minute.unwrap_or(defaults.probes_per_minute),
            ..defaults
        })
    }
}

fn parse_name<T: std::str::FromStr>(field: &str, text: &str) -> Result<T, DocumentError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| DocumentError::Field {
        field: field.to_owned(),
        reason: error.to_string(),
    })
}

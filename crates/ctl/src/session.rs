//! Connection to the system: settings, endpoints, keys, and resends.

use crate::{arguments::ConnectionArguments, error::CtlError};
use operator::{ClientError, OperatorClient, OperatorEndpoint, StatusPage};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{path::PathBuf, time::Duration};

/// Number of rounds over all endpoints after which a request fails.
const MAX_ROUNDS: usize = 3;
/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Settings file of `hawthornctl`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct CtlSettings {
    #[serde(default)]
    endpoints: Vec<OperatorEndpoint>,
    #[serde(default)]
    key_folder: Option<PathBuf>,
}

/// Sends an operator's requests to the endpoints of the system.
pub struct OperatorSession {
    pub(crate) client: OperatorClient,
    pub(crate) endpoints: Vec<OperatorEndpoint>,
    pub(crate) json: bool,
}

impl OperatorSession {
    /// Loads the settings file, if one is given, and the operator's keys.
    pub fn open(arguments: &ConnectionArguments) -> Result<Self, CtlError> {
        let settings = match &arguments.config {
            Some(path) => {
                let file_error =
                    |reason: String| CtlError::Usage(format!("{}: {reason}", path.display()));
                let text =
                    std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
                toml::from_str::<CtlSettings>(&text)
                    .map_err(|error| file_error(error.to_string()))?
            }
            None => CtlSettings::default(),
        };
        let mut endpoints = arguments.endpoint.clone();
        if endpoints.is_empty() {
            endpoints = settings.endpoints;
        }
        if endpoints.is_empty() {
            return Err(CtlError::Usage(
                "no endpoint given; use --endpoint or --config".to_owned(),
            ));
        }
        let key_folder = arguments.key_folder.clone().or(settings.key_folder).ok_or_else(|| {
            CtlError::Usage("no key folder given; use --key-folder or --config".to_owned())
        })?;
        let client = OperatorClient::new(&key_folder)?;
        Ok(Self { client, endpoints, json: arguments.json })
    }

    /// Reads a page from the endpoints in turn until one succeeds. Returns the last error if all fail.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let mut last_error = CtlError::Unreachable("no endpoint given".to_owned());
        for endpoint in &self.endpoints {
            match self.client.get(endpoint, path).await {
                Ok(page) => return Ok(page),
                Err(error) => last_error = error.into(),
            }
        }
        Err(last_error)
    }

    /// Sends a request until its outcome is known. The request must be idempotent, since it may be
    /// sent several times.
    pub async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CtlError> {
        let mut last_error = CtlError::Unreachable("no endpoint given".to_owned());
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            for endpoint in &self.endpoints {
                match self.client.post(endpoint, path, body).await {
                    Ok(answer) => return Ok(answer),
                    Err(error @ (ClientError::Refused(_) | ClientError::Key(_))) => {
                        return Err(error.into());
                    }
                    Err(error) => last_error = error.into(),
                }
            }
        }
        Err(last_error)
    }

    /// Returns the status page of each endpoint, or the error with which it could not be read.
    pub async fn all_status(&self) -> Vec<(OperatorEndpoint, Result<StatusPage, ClientError>)> {
        let mut pages = Vec::with_capacity(self.endpoints.len());
        for endpoint in &self.endpoints {
            let page = self.client.get(endpoint, "/v1/status").await;
            pages.push((endpoint.clone(), page));
        }
        pages
    }

    /// Returns the status page of the leader.
    pub async fn leader_status(&self) -> Result<StatusPage, CtlError> {
        let is_leader =
            |page: &StatusPage| page.replica.as_ref().is_some_and(|replica| replica.is_leader);
        let pages = self.all_status().await;
        let found = pages.into_iter().filter_map(|(_, page)| page.ok()).find(is_leader);
        found.ok_or_else(|| CtlError::Unreachable("none of the endpoints is the leader".to_owned()))
    }

    /// Prints a value as JSON.
    pub fn print_json<T: Serialize>(&self, value: &T) -> Result<(), CtlError> {
        let text = serde_json::to_string_pretty(value)
            .map_err(|error| CtlError::Usage(error.to_string()))?;
        println!("{text}");
        Ok(())
    }
}

//! The connection to the system: endpoints, keys, and resending.

use crate::{arguments::ConnectionArguments, error::CtlError};
use operator::{ClientError, OperatorClient, OperatorEndpoint, StatusPage};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{path::PathBuf, time::Duration};

/// Rounds over all endpoints before the tool gives up.
const ROUNDS: usize = 3;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct CtlSettings {
    #[serde(default)]
    endpoints: Vec<OperatorEndpoint>,
    #[serde(default)]
    key_folder: Option<PathBuf>,
}

/// Talks to the system.
pub struct Session {
    pub(crate) client: OperatorClient,
    pub(crate) endpoints: Vec<OperatorEndpoint>,
    pub(crate) json: bool,
}

impl Session {
    /// Loads settings and keys.
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
            return Err(CtlError::Usage("--endpoint or --config is needed".to_owned()));
        }
        let key_folder = arguments
            .key_folder
            .clone()
            .or(settings.key_folder)
            .ok_or_else(|| CtlError::Usage("--key-folder or --config is needed".to_owned()))?;
        let client = OperatorClient::new(&key_folder)?;
        Ok(Self { client, endpoints, json: arguments.json })
    }

    /// Reads a page from the first process that answers.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let mut last = CtlError::Unreachable("no endpoint".to_owned());
        for endpoint in &self.endpoints {
            match self.client.get(endpoint, path).await {
                Ok(page) => return Ok(page),
                Err(error) => last = error.into(),
            }
        }
        Err(last)
    }

    /// Sends a request until its outcome is known. It must be one that may be sent twice.
    pub async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CtlError> {
        let mut last = CtlError::Unreachable("no endpoint".to_owned());
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            for endpoint in &self.endpoints {
                match self.client.post(endpoint, path, body).await {
                    Ok(answer) => return Ok(answer),
                    Err(error @ (ClientError::Refused(_) | ClientError::Key(_))) => {
                        return Err(error.into());
                    }
                    Err(error) => last = error.into(),
                }
            }
        }
        Err(last)
    }

    /// Returns the status pages of all endpoints, with the error of those not reached.
    pub async fn all_status(&self) -> Vec<(OperatorEndpoint, Result<StatusPage, ClientError>)> {
        let mut pages = Vec::with_capacity(self.endpoints.len());
        for endpoint in &self.endpoints {
            let page = self.client.get(endpoint, "/v1/status").await;
            pages.push((endpoint.clone(), page));
        }
        pages
    }

    /// Returns the status page of the process that leads.
    pub async fn leader_status(&self) -> Result<StatusPage, CtlError> {
        let is_leader =
            |page: &StatusPage| page.replica.as_ref().is_some_and(|replica| replica.is_leader);
        let pages = self.all_status().await;
        let found = pages.into_iter().filter_map(|(_, page)| page.ok()).find(is_leader);
        found.ok_or_else(|| CtlError::Unreachable("no endpoint leads".to_owned()))
    }

    /// Prints a value as JSON.
    pub fn print_json<T: Serialize>(&self, value: &T) -> Result<(), CtlError> {
        let text = serde_json::to_string_pretty(value)
            .map_err(|error| CtlError::Usage(error.to_string()))?;
        println!("{text}");
        Ok(())
    }
}

//! Client of the operators' interface, used by `hawthornctl`.

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use peer::{KeyError, operator_client_config};
use rustls::{ClientConfig, pki_types::ServerName};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, path::Path, str::FromStr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};
use tokio_rustls::TlsConnector;
use types::HostName;

/// Time allowed for one request, including the connection and the TLS handshake.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Host name and operators' address of a process, written as `HOST=IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperatorEndpoint {
    /// Host name, as in its certificate.
    pub host: HostName,
    /// Address of the operators' interface.
    pub address: SocketAddr,
}

impl FromStr for OperatorEndpoint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (host, address) =
            text.split_once('=').ok_or_else(|| format!("{text:?} is not HOST=IP:PORT"))?;
        Ok(Self {
            host: host.parse().map_err(|error| format!("host {host:?}: {error}"))?,
            address: address.parse().map_err(|error| format!("address {address:?}: {error}"))?,
        })
    }
}

impl TryFrom<String> for OperatorEndpoint {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<OperatorEndpoint> for String {
    fn from(endpoint: OperatorEndpoint) -> Self {
        format!("{}={}", endpoint.host, endpoint.address)
    }
}

/// Reason why a request failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The process was not reached; nothing was carried out.
    #[error("{address}: not reached: {reason}")]
    NotReached {
        /// Address of the process.
        address: SocketAddr,
        /// The step that failed and its error.
        reason: String,
    },
    /// The outcome is unknown; the request may have been carried out.
    #[error("{address}: outcome unknown: {reason}")]
    Unknown {
        /// Address of the process.
        address: SocketAddr,
        /// The step that failed and its error.
        reason: String,
    },
    /// The request was refused.
    #[error("{0}")]
    Refused(String),
    /// The operator's keys cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// HTTPS client that authenticates with an operator's certificate.
#[derive(Clone)]
pub struct OperatorClient {
    config: Arc<ClientConfig>,
}

impl OperatorClient {
    /// Loads the operator's key folder. Fails if its files are missing or invalid.
    pub fn new(key_folder: &Path) -> Result<Self, ClientError> {
        Ok(Self { config: Arc::new(operator_client_config(key_folder)?) })
    }

    /// Sends a request without a body.
    pub async fn get<T: DeserializeOwned>(
        &self,
        endpoint: &OperatorEndpoint,
        path: &str,
    ) -> Result<T, ClientError> {
        self.exchange(endpoint, Method::GET, path, Vec::new()).await
    }

    /// Sends a request with a JSON body.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        endpoint: &OperatorEndpoint,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| ClientError::Refused(format!("body: {error}")))?;
        self.exchange(endpoint, Method::POST, path, body).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        endpoint: &OperatorEndpoint,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        let address = endpoint.address;
        let unknown = |reason: String| ClientError::Unknown { address, reason };
        match timeout(REQUEST_TIMEOUT, self.send(endpoint, method, path, body)).await {
            Ok(Ok((status, body))) => read_answer(address, status, &body),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(unknown(format!("no answer within {} s", REQUEST_TIMEOUT.as_secs()))),
        }
    }

    async fn send(
        &self,
        endpoint: &OperatorEndpoint,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let address = endpoint.address;
        let not_reached = |reason: String| ClientError::NotReached { address, reason };
        let unknown = |reason: String| ClientError::Unknown { address, reason };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| not_reached(format!("connect: {error}")))?;
        let name = ServerName::try_from(endpoint.host.to_string())
            .map_err(|error| not_reached(format!("host name: {error}")))?;
        let stream = TlsConnector::from(self.config.clone())
            .connect(name, stream)
            .await
            .map_err(|error| not_reached(format!("TLS handshake: {error}")))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_reached(format!("HTTP handshake: {error}")))?;
        tokio::spawn(async move {
            // This task only drives the connection; the sender returns its errors.
            let _ = connection.await;
        });
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, endpoint.host.as_str())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_reached(format!("request: {error}")))?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| unknown(format!("request: {error}")))?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| unknown(format!("answer body: {error}")))?;
        Ok((status, body.to_bytes()))
    }
}

/// Decodes an answer. Of the failure statuses, 504 means that the outcome is unknown and any other that
/// the request was refused.
fn read_answer<T: DeserializeOwned>(
    address: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, ClientError> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| ClientError::Unknown {
            address,
            reason: format!("unexpected answer: {error}"),
        });
    }
    let reason = serde_json::from_slice::<serde_json::Value>(body)
        .ok()
        .and_then(|value| Some(value.get("error")?.as_str()?.to_owned()))
        .unwrap_or_else(|| format!("status {status}"));
    if status == StatusCode::GATEWAY_TIMEOUT {
        Err(ClientError::Unknown { address, reason })
    } else {
        Err(ClientError::Refused(reason))
    }
}

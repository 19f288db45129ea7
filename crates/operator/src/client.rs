//! The client of the operators' interface, used by `hawthornctl`.

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

/// Time allowed for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Where a process takes operators' requests: `HOST=IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperatorEndpoint {
    /// Host name, as in its certificate.
    pub host: HostName,
    /// Address.
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

/// Says why a request has no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The process was not reached; nothing was carried out.
    #[error("{address}: not reached: {reason}")]
    NotReached {
        /// The process.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The request may have been carried out.
    #[error("{address}: outcome unknown: {reason}")]
    Unknown {
        /// The process.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The request was refused.
    #[error("{0}")]
    Refused(String),
    /// The operator's keys cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// Sends requests as an operator.
#[derive(Clone)]
pub struct OperatorClient {
    config: Arc<ClientConfig>,
}

impl OperatorClient {
    /// Loads the operator's key folder.
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
            Err(_) => Err(unknown("no answer in time".to_owned())),
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
        let stream =
            TcpStream::connect(address).await.map_err(|error| not_reached(error.to_string()))?;
        let name = ServerName::try_from(endpoint.host.to_string())
            .map_err(|error| not_reached(error.to_string()))?;
        let stream = TlsConnector::from(self.config.clone())
            .connect(name, stream)
            .await
            .map_err(|error| not_reached(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_reached(error.to_string()))?;
        tokio::spawn(async move {
            // The sender reports errors; the task only drives the connection.
            let _ = connection.await;
        });
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, endpoint.host.as_str())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_reached(error.to_string()))?;
        let response =
            sender.send_request(request).await.map_err(|error| unknown(error.to_string()))?;
        let status = response.status();
        let body =
            response.into_body().collect().await.map_err(|error| unknown(error.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

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

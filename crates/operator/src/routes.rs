//! The operators' HTTPS interface. The TLS handshake admits only clients with a certificate of the
//! operators' authority.

use crate::{BackendError, OperatorBackend};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use peer::{KeyError, TlsMaterial, operator_server_config};
use runtime::{DecisionCounters, TimelineFilter};
use serde::{Serialize, de::DeserializeOwned};
use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{net::TcpListener, time::timeout};
use tokio_rustls::TlsAcceptor;
use types::{ChangeAction, ChangeRequest};
use warp::{
    Filter, Reply,
    http::StatusCode,
    reply::{Response, json, with_status},
};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Time allowed for a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Reason why the operators' interface could not be started.
#[derive(Debug, Error)]
pub enum ListenError {
    /// Binding the address failed.
    #[error("operator_address: {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The keys cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Binds the interface and serves it in a background task. Returns the address bound.
pub async fn serve_operators(
    address: SocketAddr,
    material: &TlsMaterial,
    backend: Arc<dyn OperatorBackend>,
    counters: DecisionCounters,
) -> Result<SocketAddr, ListenError> {
    let acceptor = TlsAcceptor::from(Arc::new(operator_server_config(material)?));
    let bind_error = |source| ListenError::Bind { address, source };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    tokio::spawn(accept_connections(listener, acceptor, backend, counters));
    Ok(bound)
}

async fn accept_connections(
    listener: TcpListener,
    acceptor: TlsAcceptor,
    backend: Arc<dyn OperatorBackend>,
    counters: DecisionCounters,
) {
    let service = warp::service(routes(backend, counters.clone()));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let (acceptor, service, counters) = (acceptor.clone(), service.clone(), counters.clone());
        tokio::spawn(async move {
            let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await else {
                counters.count("operator-refused");
                return;
            };
            // An operator whose connection breaks resends the request.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service))
                .await;
        });
    }
}

fn routes(
    backend: Arc<dyn OperatorBackend>,
    counters: DecisionCounters,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let with_backend = warp::any().map(move || backend.clone());
    let status = warp::get()
        .and(warp::path!("v1" / "status"))
        .and(with_backend.clone())
        .then(|backend: Arc<dyn OperatorBackend>| async move { json(&backend.status().await) });
    let view = warp::get()
        .and(warp::path!("v1" / "view"))
        .and(with_backend.clone())
        .then(|backend: Arc<dyn OperatorBackend>| async move { json(&backend.view().await) });
    let local_view = warp::get()
        .and(warp::path!("v1" / "view" / "local"))
        .and(with_backend.clone())
        .then(|backend: Arc<dyn OperatorBackend>| async move { json(&backend.local_view().await) });
    let events = post("events").and(with_backend.clone()).then(
        |body: Vec<u8>, backend: Arc<dyn OperatorBackend>| async move {
            match parse_body::<TimelineFilter>(&body) {
                Ok(filter) => json(&backend.events(filter).await).into_response(),
                Err(response) => *response,
            }
        },
    );
    let changes = post("changes").and(with_backend.clone()).then(
        move |body: Vec<u8>, backend: Arc<dyn OperatorBackend>| {
            let counters = counters.clone();
            async move { respond_to_change(&body, &*backend, &counters).await }
        },
    );
    let bootstrap = post("bootstrap").and(with_backend.clone()).then(
        |body: Vec<u8>, backend: Arc<dyn OperatorBackend>| async move {
            match parse_body(&body) {
                Ok(members) => result_response(backend.bootstrap(members).await),
                Err(response) => *response,
            }
        },
    );
    let membership = post("membership").and(with_backend).then(
        |body: Vec<u8>, backend: Arc<dyn OperatorBackend>| async move {
            match parse_body(&body) {
                Ok(change) => result_response(backend.change_membership(change).await),
                Err(response) => *response,
            }
        },
    );
    status.or(view).or(local_view).or(events).or(changes).or(bootstrap).or(membership).recover(
        |_| async {
            let body = ErrorBody { error: "no such path, method, or a body too large".to_owned() };
            Ok::<_, Infallible>(with_status(json(&body), StatusCode::NOT_FOUND))
        },
    )
}

/// Matches `POST /v1/{name}` and extracts the body.
fn post(name: &'static str) -> impl Filter<Extract = (Vec<u8>,), Error = warp::Rejection> + Clone {
    warp::post()
        .and(warp::path("v1"))
        .and(warp::path(name))
        .and(warp::path::end())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .map(|body: bytes::Bytes| body.to_vec())
}

async fn respond_to_change(
    body: &[u8],
    backend: &dyn OperatorBackend,
    counters: &DecisionCounters,
) -> Response {
    let change: ChangeRequest = match parse_body(body) {
        Ok(change) => change,
        Err(response) => {
            counters.count("change-invalid");
            return *response;
        }
    };
    if let ChangeAction::Document(document) = &change.action
        && let Err(error) = document.verify()
    {
        counters.count("change-invalid");
        return error_response(StatusCode::BAD_REQUEST, error.to_string());
    }
    counters.count("change-proposed");
    result_response(backend.change(change).await)
}

fn result_response<T: Serialize>(result: Result<T, BackendError>) -> Response {
    match result {
        Ok(value) => json(&value).into_response(),
        Err(BackendError::Refused(reason)) => error_response(StatusCode::CONFLICT, reason),
        Err(BackendError::Unknown(reason)) => error_response(StatusCode::GATEWAY_TIMEOUT, reason),
    }
}

/// Decodes a JSON body. The error response names the invalid field.
fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response>> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let reason = format!("field {}: {}", error.path(), error.inner());
        Box::new(error_response(StatusCode::BAD_REQUEST, reason))
    })
}

fn error_response(status: StatusCode, error: String) -> Response {
    with_status(json(&ErrorBody { error }), status).into_response()
}

//! One HTTP/1.1 connection to a server.

use crate::{
    SendError, ServerAnswer, ServerConnection, ServerRequest, StartGuard,
    guarded_stream::{SendGate, SendStage},
    pool::IdlePool,
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use runtime::ReadMeter;
use std::{net::SocketAddr, sync::Arc, time::Instant};
use tokio::time::timeout_at;
use types::{HeaderField, ServerIncarnation, header};

/// Maximum size of an answer's body in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Header fields of an answer that are not passed on: hop-by-hop fields, `content-length`, and
/// fields that the load balancer interprets or sets itself.
const EXCLUDED_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    header::OUTCOME,
    header::INCARNATION,
    header::LOAD,
    header::STATE,
    header::NOT_RUN,
];

/// An HTTP/1.1 connection, either reused from the pool or newly opened.
pub(crate) struct HttpConnection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) gate: Arc<SendGate>,
    pub(crate) pool: Arc<IdlePool>,
}

impl HttpConnection {
    /// Sends a request and reads the complete answer.
    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<ServerAnswer, SendError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let was_returned = error.take_message().is_some();
                return Err(self.send_error(was_returned, &error.into_error()));
            }
        };
        self.gate.meter().record_progress();
        read_answer(response, self.gate.meter()).await
    }

    /// Classifies a failed send. `was_returned` says whether the HTTP library returned the request
    /// unsent.
    fn send_error(&self, was_returned: bool, error: &hyper::Error) -> SendError {
        match self.gate.stage() {
            SendStage::Refused => SendError::RefusedByGuard,
            SendStage::NotStarted => SendError::NotSent(error.to_string()),
            SendStage::Started if was_returned => SendError::NotSent(error.to_string()),
            SendStage::Started => SendError::MaybeSent(error.to_string()),
        }
    }
}

#[async_trait]
impl ServerConnection for HttpConnection {
    async fn send(
        mut self: Box<Self>,
        request: ServerRequest,
        guard: StartGuard,
        deadline: Instant,
    ) -> Result<ServerAnswer, SendError> {
        self.gate.set_guard(guard);
        let request = build_request(self.address, request)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let result = timeout_at(deadline.into(), self.exchange(request)).await;
        match result {
            Ok(Ok(answer)) => {
                // After a complete answer, the connection can be reused.
                let Self { address, sender, gate, pool } = *self;
                pool.put(address, sender, gate);
                Ok(answer)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => match self.gate.stage() {
                SendStage::Started => Err(SendError::DeadlinePassed),
                SendStage::NotStarted | SendStage::Refused => {
                    Err(SendError::NotSent("the deadline passed".to_owned()))
                }
            },
        }
    }
}

/// Builds the HTTP request. Sets `Host` to the server's address if the caller did not set it.
fn build_request(
    address: SocketAddr,
    request: ServerRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut http_request = Request::builder()
        .method(request.method)
        .uri(http::Uri::from(request.path))
        .body(Full::new(request.body))?;
    *http_request.headers_mut() = request.headers;
    if !http_request.headers().contains_key(http::header::HOST) {
        let host = http::HeaderValue::from_str(&address.to_string())?;
        http_request.headers_mut().insert(http::header::HOST, host);
    }
    Ok(http_request)
}

/// Reads the complete body and the fields that the server reports in headers.
async fn read_answer(
    response: Response<Incoming>,
    meter: &ReadMeter,
) -> Result<ServerAnswer, SendError> {
    let (parts, body) = response.into_parts();
    let body = body.map_frame(|frame| {
        meter.record_progress();
        frame
    });
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            SendError::TooLarge(MAX_ANSWER_BYTES)
        } else {
            SendError::MaybeSent(format!("the answer broke off: {error}"))
        }
    })?;
    let header_text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let headers = HeaderField::all_except(&parts.headers, EXCLUDED_HEADERS);
    Ok(ServerAnswer {
        status: parts.status.as_u16(),
        headers,
        body: body.to_bytes().to_vec(),
        incarnation: header_text(header::INCARNATION)
            .and_then(|value| value.parse().ok())
            .map(ServerIncarnation),
        load: header_text(header::LOAD).and_then(|value| value.parse().ok()),
        is_leaving: header_text(header::STATE) == Some("leaving"),
        is_not_run: header_text(header::NOT_RUN) == Some("1"),
    })
}

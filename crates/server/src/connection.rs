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
use std::{net::SocketAddr, sync::Arc, time::Instant};
use tokio::time::timeout_at;
use types::{HeaderField, ServerIncarnation, header};

/// The greatest answer body in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Header fields that concern one connection only, or that this system sets itself.
const HOP_HEADERS: &[&str] = &[
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

/// A connection taken from the pool, or opened for this request.
pub(crate) struct HttpConnection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) gate: Arc<SendGate>,
    pub(crate) pool: Arc<IdlePool>,
}

impl HttpConnection {
    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<ServerAnswer, SendError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failure) => {
                let was_kept = failure.take_message().is_some();
                return Err(self.failure(was_kept, &failure.into_error()));
            }
        };
        read_answer(response).await
    }

    fn failure(&self, was_kept: bool, error: &hyper::Error) -> SendError {
        match self.gate.stage() {
            SendStage::Refused => SendError::Guarded,
            SendStage::Waiting => SendError::NotSent(error.to_string()),
            SendStage::Started if was_kept => SendError::NotSent(error.to_string()),
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
        self.gate.arm(guard);
        let request = build_request(self.address, request)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let result = timeout_at(deadline.into(), self.exchange(request)).await;
        match result {
            Ok(Ok(answer)) => {
                // An answer that is whole leaves the connection ready for the next request.
                let Self { address, sender, gate, pool } = *self;
                pool.put(address, sender, gate);
                Ok(answer)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => match self.gate.stage() {
                SendStage::Started => Err(SendError::DeadlinePassed),
                SendStage::Waiting | SendStage::Refused => {
                    Err(SendError::NotSent("the deadline passed".to_owned()))
                }
            },
        }
    }
}

fn build_request(
    address: SocketAddr,
    request: ServerRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut built = Request::builder()
        .method(request.method)
        .uri(http::Uri::from(request.path))
        .body(Full::new(request.body))?;
    *built.headers_mut() = request.headers;
    if !built.headers().contains_key(http::header::HOST) {
        let host = http::HeaderValue::from_str(&address.to_string())?;
        built.headers_mut().insert(http::header::HOST, host);
    }
    Ok(built)
}

async fn read_answer(response: Response<Incoming>) -> Result<ServerAnswer, SendError> {
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            SendError::TooLarge(MAX_ANSWER_BYTES)
        } else {
            SendError::MaybeSent(format!("the answer broke off: {error}"))
        }
    })?;
    let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let headers = HeaderField::all_except(&parts.headers, HOP_HEADERS);
    Ok(ServerAnswer {
        status: parts.status.as_u16(),
        headers,
        body: collected.to_bytes().to_vec(),
        incarnation: text(header::INCARNATION)
            .and_then(|value| value.parse().ok())
            .map(ServerIncarnation),
        load: text(header::LOAD).and_then(|value| value.parse().ok()),
        is_leaving: text(header::STATE) == Some("leaving"),
        is_not_run: text(header::NOT_RUN) == Some("1"),
    })
}

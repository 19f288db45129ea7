//! The server side of HTTP/1.1: parses request heads and bodies, and encodes responses.
//!
//! The server in `hyper` starts a pipelined request only after it has answered the previous one.
//! This implementation runs the idempotent requests of one connection concurrently and sends the
//! responses in order.

mod answer_bytes;
mod body_decoder;
mod head;

pub(crate) use answer_bytes::{
    AnswerFraming, CONTINUE_RESPONSE, LAST_CHUNK, answer_framing, encode_head, encode_part,
};
pub(crate) use body_decoder::BodyDecoder;
pub(crate) use head::{HeadError, RequestHead, parse_head};

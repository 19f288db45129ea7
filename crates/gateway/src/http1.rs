//! The callers' side of HTTP/1.1: heads, bodies and answers as bytes.
//!
//! The server of the HTTP library starts a pipelined request only after it has answered the one
//! before. Here idempotent requests of one connection run at the same time; answers keep their
//! order.

mod answer_bytes;
mod body_decoder;
mod head;

pub(crate) use answer_bytes::{CONTINUE_LINE, encode_answer};
pub(crate) use body_decoder::BodyDecoder;
pub(crate) use head::{HeadError, RequestHead, parse_head};

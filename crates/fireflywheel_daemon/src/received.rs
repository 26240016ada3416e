//! Bodies of received responses. Every reader of a response learns here, and only here, how its body ended.

use bytes::{Bytes, BytesMut};
use fireflywheel::ending::{Break, Ending, Framing};
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;

use crate::door;

const CHUNKED: &str = "chunked";

/// The body of a response that is being received.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    framing: Framing,
}

/// The next part of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
    /// Bytes, which may be none.
    Data(Bytes),
    /// The end.
    End(Ending),
}

impl Body {
    /// Separates the body of a response from its head.
    #[must_use]
    pub fn split(response: Response<Incoming>) -> (Parts, Self) {
        let (head, incoming) = response.into_parts();
        let framing = framing(&head, &incoming);
        (head, Self { incoming, framing })
    }

    /// How the response tells where its body ends.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the whole body like [`Self::collect`], each part as soon as there is room for it in `hold`.
    pub async fn collect_held(mut self, max_bytes: usize, hold: &door::Hold) -> (Bytes, Ending) {
        let mut collected = BytesMut::new();
        loop {
            match self.next().await {
                Part::Data(bytes) if collected.len() + bytes.len() > max_bytes => {
                    return (collected.freeze(), Ending::BrokenOff(Break::TooLarge));
                }
                Part::Data(bytes) => {
                    hold.add(bytes.len()).await;
                    collected.extend_from_slice(&bytes);
                }
                Part::End(ending) => return (collected.freeze(), ending),
            }
        }
    }

    /// Waits for the next part. Must not be called after the end. It is safe to drop the future.
    pub async fn next(&mut self) -> Part {
        match self.incoming.frame().await {
            Some(Ok(frame)) => Part::Data(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Part::End(Ending::BrokenOff(Break::Connection)),
            None => Part::End(self.framing.end()),
        }
    }

    /// Reads the body to its end, up to `max_bytes`. Returns what has arrived, and how it ended.
    pub async fn collect(mut self, max_bytes: usize) -> (Bytes, Ending) {
        let mut collected = BytesMut::new();
        loop {
            match self.next().await {
                Part::Data(bytes) if collected.len() + bytes.len() > max_bytes => {
                    return (collected.freeze(), Ending::BrokenOff(Break::TooLarge));
                }
                Part::Data(bytes) => collected.extend_from_slice(&bytes),
                Part::End(ending) => return (collected.freeze(), ending),
            }
        }
    }
}

fn framing(head: &Parts, body: &Incoming) -> Framing {
    let codings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = codings
        .and_then(|value| value.to_str().ok())
        .and_then(|codings| codings.rsplit(',').next());
    let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED));
    if is_chunked || body.is_end_stream() || body.size_hint().exact().is_some() {
        Framing::Stated
    } else {
        Framing::UntilClose
    }
}

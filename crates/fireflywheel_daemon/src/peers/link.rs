//! One link: frames both ways until it ends.

use std::time::Duration;

use fireflywheel::{event, record, wire};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::error::ProtocolError;
use tokio_tungstenite::tungstenite::{Error, Message};

use super::{handshake, registry};
use crate::{core, metrics};

/// How long one frame may take to send: a peer that doesn't read holds up the frames behind it.
const SEND_WAIT: Duration = Duration::from_secs(5);

type Socket = WebSocketStream<TcpStream>;

/// Serves a link that was proven, until it ends.
pub(super) async fn run(
    core: &core::Core,
    links: &registry::Registry,
    proven: handshake::Proven,
    role: handshake::Role,
) {
    let handshake::Proven { socket, peer } = proven;
    let opened_here = role == handshake::Role::Opener;
    let Some(entry) = links.open(core, &peer, opened_here) else {
        return;
    };
    let (sink, stream) = socket.split();
    // Both ways at once: two sides that only write would wait for each other.
    tokio::select! {
        () = write(core, sink, entry.frames) => {}
        () = read(core, stream, &peer.by) => {}
        _ = entry.stop => {}
    }
    links.close(core, &peer, entry.number);
}

async fn write(
    core: &core::Core,
    mut sink: SplitSink<Socket, Message>,
    mut frames: mpsc::Receiver<wire::Frame>,
) {
    while let Some(frame) = frames.recv().await {
        let bytes = frame.encode();
        if bytes.len() > wire::MAX_FRAME_BYTES {
            core.metrics()
                .count_link_failure(metrics::LinkFailure::Long);
            continue;
        }
        core.metrics()
            .count_frame(metrics::Direction::Out, bytes.len());
        let sent = time::timeout(SEND_WAIT, sink.send(Message::Binary(bytes.into()))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read(core: &core::Core, mut stream: SplitStream<Socket>, from: &record::Incarnation) {
    while let Some(message) = stream.next().await {
        let bytes = match message {
            Ok(Message::Binary(bytes)) => bytes,
            Ok(Message::Ping(_) | Message::Pong(_)) => continue,
            Ok(Message::Close(_)) => return,
            Ok(Message::Text(_) | Message::Frame(_)) => {
                return fail(core, metrics::LinkFailure::Malformed);
            }
            Err(Error::Capacity(_)) => return fail(core, metrics::LinkFailure::Long),
            // A process that ends doesn't always say so first.
            Err(Error::Protocol(ProtocolError::ResetWithoutClosingHandshake)) => return,
            Err(Error::Protocol(_) | Error::Utf8(_)) => {
                return fail(core, metrics::LinkFailure::Malformed);
            }
            Err(_) => return,
        };
        core.metrics()
            .count_frame(metrics::Direction::In, bytes.len());
        match wire::Frame::decode(&bytes) {
            Ok(frame) => core.step(event::Event::Frame {
                from: from.clone(),
                frame,
            }),
            Err(wire::Malformed::TooLong(_)) => return fail(core, metrics::LinkFailure::Long),
            Err(wire::Malformed::Cbor(_)) => return fail(core, metrics::LinkFailure::Malformed),
        }
    }
}

fn fail(core: &core::Core, failure: metrics::LinkFailure) {
    core.metrics().count_link_failure(failure);
    log::warn!(
        instance = core.instance().as_str();
        "a link was closed for what came over it: {}", failure.as_str()
    );
}

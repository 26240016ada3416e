//! Serves one link: sends and receives frames until the link ends.

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

/// Time limit for sending one frame. A peer that does not read delays the frames that are queued behind it.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

type Socket = WebSocketStream<TcpStream>;

/// Serves an authenticated link until it ends. Returns at once if the registry refuses the link.
pub(super) async fn run(
    core: &core::Core,
    links: &registry::Registry,
    connection: handshake::Connection,
    role: handshake::Role,
) {
    let handshake::Connection { socket, peer } = connection;
    let is_opener = role == handshake::Role::Opener;
    let Some(channels) = links.register(core, &peer, is_opener) else {
        return;
    };
    let (sink, stream) = socket.split();
    // Both directions run concurrently: two sides that only write would block each other.
    tokio::select! {
        () = write(core, sink, channels.frames) => {}
        () = read(core, stream, &peer.by) => {}
        _ = channels.stop => {}
    }
    links.unregister(core, &peer, channels.number);
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
                .count_link_failure(metrics::LinkFailure::TooLong);
            continue;
        }
        core.metrics()
            .count_frame(metrics::Direction::Out, bytes.len());
        let result = time::timeout(SEND_TIMEOUT, sink.send(Message::Binary(bytes.into()))).await;
        if !matches!(result, Ok(Ok(()))) {
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
                return record_failure(core, metrics::LinkFailure::Malformed);
            }
            Err(Error::Capacity(_)) => return record_failure(core, metrics::LinkFailure::TooLong),
            // A process that exits does not always send a close frame.
            Err(Error::Protocol(ProtocolError::ResetWithoutClosingHandshake)) => return,
            Err(Error::Protocol(_) | Error::Utf8(_)) => {
                return record_failure(core, metrics::LinkFailure::Malformed);
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
            Err(wire::Malformed::TooLong(_)) => {
                return record_failure(core, metrics::LinkFailure::TooLong);
            }
            Err(wire::Malformed::Cbor(_)) => {
                return record_failure(core, metrics::LinkFailure::Malformed);
            }
        }
    }
}

fn record_failure(core: &core::Core, failure: metrics::LinkFailure) {
    core.metrics().count_link_failure(failure);
    log::warn!(
        instance = core.instance().as_str();
        "closing a peer link, received an invalid message: {}", failure.as_str()
    );
}

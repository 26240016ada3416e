//! Serves tunnels: connections to backend servers for instances that can't reach them themselves.

use std::sync::Arc;

use bytes::BytesMut;
use fireflywheel::fleet::tunnel::{Message, Nonce, Refusal};
use futures_util::stream::SplitSink;
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as WebSocketMessage;
use tokio_tungstenite::tungstenite::protocol;

use super::node;
use super::platform;
use super::tunnel;

/// Maximum number of tunnels that one instance serves. They bound its memory and descriptors.
const MAX_SERVED_TUNNELS: usize = 256;
/// Maximum number of bytes that are read from a server at once.
const CHUNK_BYTES: usize = 8 << 10;

/// Serves the gateway's end of a tunnel whose opener has sent its nonce.
pub async fn serve<P>(node: &Arc<node::Node<P>>, socket: tunnel::Socket, opener: Nonce)
where
    P: platform::Platform,
{
    // The opener sends nothing until it has the challenge, so replacing the socket and its large buffers loses no bytes.
    let stream = socket.into_inner();
    let config = Some(tunnel::websocket_config());
    let mut socket = WebSocketStream::from_raw_socket(stream, protocol::Role::Server, config).await;
    let Ok(outcome) =
        time::timeout(tunnel::HANDSHAKE_TIMEOUT, accept(node, &mut socket, opener)).await
    else {
        return;
    };
    let rejection = match outcome {
        Ok(Ok(accepted)) => {
            node.metrics.count_served_tunnel("opened");
            forward(node, socket, accepted).await;
            return;
        }
        Ok(Err(rejection)) => rejection,
        Err(error) => {
            log::debug!(why = error.to_string().as_str(); "tunnel handshake broke off");
            return;
        }
    };
    node.metrics.count_served_tunnel(rejection.refusal.as_str());
    let answer = match rejection.accepts_referral && rejection.refusal == Refusal::Busy {
        true => Message::Referred(node.lenders()),
        false => Message::Refused(rejection.refusal),
    };
    // The opener may have left.
    let _ = tunnel::send(&mut socket, tunnel::encode(&answer)).await;
}

/// Why no connection is opened, and whether the opener can be referred to others.
struct Rejection {
    refusal: Refusal,
    accepts_referral: bool,
}

async fn accept<P>(
    node: &Arc<node::Node<P>>,
    socket: &mut tunnel::Socket,
    opener: Nonce,
) -> anyhow::Result<Result<node::ServedTunnel<P>, Rejection>>
where
    P: platform::Platform,
{
    let nonce = tunnel::generate_nonce();
    tunnel::send(socket, tunnel::encode(&Message::Challenge(nonce))).await?;
    let Message::Open {
        process,
        proof,
        is_lent,
        accepts_referral,
        brittle,
    } = tunnel::receive(socket).await?
    else {
        anyhow::bail!("unexpected message");
    };
    let reject = |refusal| {
        Ok(Err(Rejection {
            refusal,
            accepts_referral: accepts_referral && is_lent,
        }))
    };
    let Some(secret) = node.tunnel_secret() else {
        return reject(Refusal::Unauthenticated);
    };
    let handshake = tunnel::Handshake {
        secret: &secret,
        opener,
        gateway: nonce,
        process: &process,
    };
    if !handshake.is_proven(tunnel::Role::Opener, &proof) {
        // The opener may know a later secret.
        node.request_secret();
        return reject(Refusal::Unauthenticated);
    }
    let served = match node
        .serve_tunnel(&process, MAX_SERVED_TUNNELS, is_lent, brittle)
        .await
    {
        Ok(served) => served,
        Err(refusal) => return reject(refusal),
    };
    let proof = handshake.prove(tunnel::Role::Gateway);
    let answer = Message::opened(proof, brittle.is_some());
    tunnel::send(socket, tunnel::encode(&answer)).await?;
    Ok(Ok(served))
}

/// Forwards bytes between an opener and a server until either connection ends.
async fn forward<P>(
    node: &Arc<node::Node<P>>,
    socket: tunnel::Socket,
    served: node::ServedTunnel<P>,
) where
    P: platform::Platform,
{
    let (mut to_opener, mut from_opener) = socket.split();
    let (mut from_server, mut to_server) = served.stream.into_split();
    let place = served.place;
    let upstream = async {
        while let Some(Ok(message)) = from_opener.next().await {
            match message {
                WebSocketMessage::Binary(bytes) => {
                    if to_server.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
                WebSocketMessage::Close(frame) => {
                    let is_rejection = frame.is_some_and(|frame| frame == tunnel::REJECTED);
                    if let (Some(place), true) = (&place, is_rejection) {
                        place.record_rejection();
                    }
                    break;
                }
                _ => break,
            }
        }
    };
    tokio::select! {
        () = upstream => {}
        () = forward_answers(node, &mut from_server, &mut to_opener) => {}
    }
}

/// Forwards a server's bytes to the opener. The end of the server's connection is forwarded as such; a connection that
/// breaks off is not, since an answer without length would look complete. The opener is told when this instance stops.
async fn forward_answers<P>(
    node: &Arc<node::Node<P>>,
    from_server: &mut OwnedReadHalf,
    to_opener: &mut SplitSink<tunnel::Socket, WebSocketMessage>,
) where
    P: platform::Platform,
{
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    let drain = node.wait_for_drain();
    tokio::pin!(drain);
    let mut is_told = false;
    loop {
        buffer.reserve(CHUNK_BYTES);
        let read = tokio::select! {
            read = from_server.read_buf(&mut buffer) => read,
            _ = &mut drain, if !is_told => {
                is_told = true;
                let notice = WebSocketMessage::Text(tunnel::STOPPING);
                if to_opener.send(notice).await.is_err() {
                    return;
                }
                continue;
            }
        };
        match read {
            Ok(0) => {
                // The opener may have left.
                let _ = to_opener
                    .send(WebSocketMessage::Close(Some(tunnel::END)))
                    .await;
                return;
            }
            Ok(_) => {
                let message = WebSocketMessage::Binary(buffer.split().freeze());
                if to_opener.send(message).await.is_err() {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

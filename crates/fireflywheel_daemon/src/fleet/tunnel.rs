//! Connections to backend servers through another instance, for an instance that can't reach them itself.
//!
//! A tunnel is a WebSocket connection between two instances that carries the bytes of one connection to a server. Dropping
//! either end closes the other connection too, so a caller that leaves ends its request at the server as on a direct
//! connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf as _, Bytes};
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::gateway;
use fireflywheel::fleet::tunnel::{Message, Nonce, PROOF_BYTES, Proof, Refusal, Secret};
use futures_util::{Sink as _, SinkExt as _, Stream as _, StreamExt as _};
use hmac::{Hmac, Mac as _};
use rand::RngCore as _;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::{CloseFrame, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Message as WebSocketMessage, Utf8Bytes};
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::{net, pool};

/// How long each end waits for the other to complete the handshake. It includes the time for which the gateway tries
/// to reach the server.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(800);
/// Size of a tunnel's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Maximum size of a message, in bytes. An opener sends the parts of a request as they come.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What a gateway closes a tunnel with when the server has ended its connection in order. Whatever else ends a tunnel is
/// a failure.
pub(super) const END: CloseFrame = CloseFrame {
    code: CloseCode::Normal,
    reason: Utf8Bytes::from_static("server ended"),
};

/// What a gateway says when it stops. The request in progress can end, and none may follow. Earlier releases ignore it.
pub(super) const STOPPING: Utf8Bytes = Utf8Bytes::from_static("stopping");

/// What an opener closes a tunnel with when the server has rejected a request for want of room.
pub(super) const REJECTED: CloseFrame = CloseFrame {
    code: CloseCode::Library(4000),
    reason: Utf8Bytes::from_static("rejected"),
};
/// How long the opener may take to close it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// A WebSocket connection between two instances.
pub type Socket = WebSocketStream<TcpStream>;

/// Why a tunnel was not opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The gateway refused it.
    Refused(Refusal),
    /// The gateway has no connection to spare. These may have one.
    Referred(Vec<gateway::Gateway>),
    /// The gateway didn't answer or broke the protocol.
    NoAnswer,
    /// This instance doesn't know the fleet's secret.
    NoSecret,
}

impl Error {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.as_str(),
            Self::Referred(_) => "referred",
            Self::NoAnswer => "gateway did not answer",
            Self::NoSecret => "secret not known",
        }
    }
}

/// The opener's end of a tunnel.
#[derive(Debug)]
pub struct Tunnel {
    socket: Socket,
    received: Bytes,
    /// Whether the gateway has said that the server ended its connection.
    has_ended: bool,
    /// Whether the gateway has said that it stops.
    is_stopping: Arc<AtomicBool>,
}

/// What an opener asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A connection that counts as one of the opener's own.
    Own,
    /// A connection that the gateway has to spare.
    Lent,
    /// The same, with a place in the gateway's window for a brittle server that tolerates so many rejections in a second.
    LentWithPlace(u32),
}

impl Kind {
    fn tolerated_rejections(self) -> Option<u32> {
        match self {
            Self::LentWithPlace(rejections) => Some(rejections),
            Self::Own | Self::Lent => None,
        }
    }
}

/// The ends of a tunnel. A proof covers its maker's role, so that it can't be sent back to its maker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    Opener,
    Gateway,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"fireflywheel tunnel 1 opener",
            Self::Gateway => b"fireflywheel tunnel 1 gateway",
        }
    }
}

/// What both ends have agreed on before they prove that they know the secret.
#[derive(Clone, Copy, Debug)]
pub(super) struct Handshake<'a> {
    pub(super) secret: &'a Secret,
    pub(super) opener: Nonce,
    pub(super) gateway: Nonce,
    pub(super) process: &'a Process,
}

impl Handshake<'_> {
    fn mac(&self, role: Role) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.0.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(role.label());
        mac.update(&self.opener);
        mac.update(&self.gateway);
        mac.update(&self.process.started_ms.to_be_bytes());
        mac.update(self.process.server.as_bytes());
        mac
    }

    pub(super) fn prove(&self, role: Role) -> Proof {
        self.mac(role).finalize().into_bytes().into()
    }

    /// Compares in constant time.
    pub(super) fn is_proven(&self, role: Role, proof: &Proof) -> bool {
        self.mac(role).verify_slice(proof).is_ok()
    }
}

/// Opens a tunnel to a server process through a gateway. The server has been sent nothing if this fails.
///
/// # Errors
///
/// Returns an [`Error`] if there is no tunnel.
pub async fn open(
    gateway: &gateway::Gateway,
    secret: Option<Secret>,
    process: &Process,
    kind: Kind,
) -> Result<Tunnel, Error> {
    let secret = secret.ok_or(Error::NoSecret)?;
    let opening = async {
        let address = gateway.address.as_str();
        let stream = TcpStream::connect(address).await?;
        net::configure(&stream);
        let url = format!("ws://{address}/");
        let (mut socket, _) =
            client_async_with_config(url, stream, Some(websocket_config())).await?;
        let opener = generate_nonce();
        send(&mut socket, frame::Frame::Tunnel(opener).encode()).await?;
        let Message::Challenge(nonce) = receive(&mut socket).await? else {
            anyhow::bail!("no challenge");
        };
        let handshake = Handshake {
            secret: &secret,
            opener,
            gateway: nonce,
            process,
        };
        let open = Message::Open {
            process: process.clone(),
            proof: handshake.prove(Role::Opener),
            is_lent: kind != Kind::Own,
            accepts_referral: true,
            brittle: kind.tolerated_rejections(),
        };
        send(&mut socket, encode(&open)).await?;
        let has_place = kind.tolerated_rejections().is_some();
        match receive(&mut socket).await? {
            Message::Opened(proof) | Message::OpenedWithPlace(proof)
                if !handshake.is_proven(Role::Gateway, &proof) =>
            {
                Ok(Err(Error::Refused(Refusal::Unauthenticated)))
            }
            // A gateway of an earlier release lends a connection only.
            Message::Opened(_) if has_place => Ok(Err(Error::Refused(Refusal::Busy))),
            Message::Opened(_) | Message::OpenedWithPlace(_) => Ok(Ok(socket)),
            Message::Refused(refusal) => Ok(Err(Error::Refused(refusal))),
            Message::Referred(gateways) => Ok(Err(Error::Referred(gateways))),
            Message::Challenge(_) | Message::Open { .. } => anyhow::bail!("unexpected message"),
        }
    };
    match time::timeout(HANDSHAKE_TIMEOUT, opening).await {
        Ok(Ok(Ok(socket))) => Ok(Tunnel {
            socket,
            received: Bytes::new(),
            has_ended: false,
            is_stopping: Arc::default(),
        }),
        Ok(Ok(Err(error))) => Err(error),
        Ok(Err(_)) | Err(_) => Err(Error::NoAnswer),
    }
}

impl pool::Carrier for Tunnel {
    fn stop_notice(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_stopping)
    }

    async fn report_rejection(mut self) {
        let closing = self.socket.close(Some(REJECTED));
        // The gateway may have closed it already.
        let _ = time::timeout(CLOSE_TIMEOUT, closing).await;
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() {
            if self.has_ended {
                return Poll::Ready(Ok(()));
            }
            match ready!(Pin::new(&mut self.socket).poll_next(context)) {
                Some(Ok(WebSocketMessage::Binary(bytes))) => self.received = bytes,
                Some(Ok(WebSocketMessage::Close(Some(frame)))) if frame == END => {
                    self.has_ended = true;
                }
                Some(Ok(WebSocketMessage::Close(_))) | None => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Some(Ok(WebSocketMessage::Text(text))) if text == STOPPING => {
                    self.is_stopping.store(true, Ordering::Release);
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(to_io_error(error))),
            }
        }
        let count = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..count]);
        self.received.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = bytes.len().min(MAX_MESSAGE_BYTES);
        let mut socket = Pin::new(&mut self.socket);
        ready!(socket.as_mut().poll_ready(context)).map_err(to_io_error)?;
        let message = WebSocketMessage::Binary(Bytes::copy_from_slice(&bytes[..count]));
        socket.start_send(message).map_err(to_io_error)?;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket)
            .poll_flush(context)
            .map_err(to_io_error)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket)
            .poll_close(context)
            .map_err(to_io_error)
    }
}

fn to_io_error(error: tungstenite::Error) -> io::Error {
    match error {
        tungstenite::Error::Io(error) => error,
        other => io::Error::other(other),
    }
}

pub(super) fn generate_nonce() -> Nonce {
    let mut nonce = [0; PROOF_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

pub(super) fn encode(message: &Message) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to a buffer cannot fail");
    bytes.into()
}

pub(super) async fn send(socket: &mut Socket, bytes: Bytes) -> anyhow::Result<()> {
    Ok(socket.send(WebSocketMessage::Binary(bytes)).await?)
}

pub(super) async fn receive(socket: &mut Socket) -> anyhow::Result<Message> {
    match socket.next().await {
        Some(Ok(WebSocketMessage::Binary(bytes))) => Ok(ciborium::from_reader(bytes.as_ref())?),
        Some(Ok(_)) | None => anyhow::bail!("closed"),
        Some(Err(error)) => Err(error.into()),
    }
}

pub(super) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

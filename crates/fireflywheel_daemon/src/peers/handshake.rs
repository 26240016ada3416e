//! The mutual authentication of a link. Each side proves that it knows the shared key. The proof is an HMAC
//! over both sides' nonces, the prover's role and the prover's own update.
//!
//! | step | opener | acceptor |
//! |---|---|---|
//! | 1 | its nonce | |
//! | 2 | | its nonce |
//! | 3 | its proof and own update | |
//! | 4 | | its proof and own update |
//! | 5 | an empty message | |
//!
//! A client without the key receives a random nonce and nothing else. Frames follow only after step 5, so
//! that none is read under the smaller size limit of the handshake.

use fireflywheel::{member, settings, wire};
use futures_util::{SinkExt as _, StreamExt as _};
use hmac::{Hmac, Mac as _};
use rand::RngCore as _;
use sha2::Sha256;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::{self, WebSocketConfig};
use tokio_tungstenite::tungstenite::{Bytes, Message};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

/// Size of a proof, an HMAC-SHA-256, in bytes. A nonce has the same size.
const PROOF_BYTES: usize = 32;
/// Size limit of a message during the handshake, in bytes.
const MAX_HANDSHAKE_MESSAGE_BYTES: usize = 2048;
/// Initial size of a link's read buffer, in bytes. The library's default buffers take a quarter of a megabyte
/// for each link.
const READ_BUFFER_BYTES: usize = 8 << 10;

type Socket = WebSocketStream<TcpStream>;
type Nonce = [u8; PROOF_BYTES];

/// A side of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// The side that opened the TCP connection.
    Opener,
    /// The side that accepted the TCP connection.
    Acceptor,
}

/// Why a link could not be established.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The TCP connection failed.
    Connect,
    /// The peer broke the protocol or did not prove the key.
    Handshake,
    /// The peer has the name of this instance, as when the instance connects to itself.
    SelfConnection,
}

/// A connection to a peer that has proven the key.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) socket: Socket,
    pub(super) peer: member::Update,
}

/// The shared key and the update that describes this instance.
#[derive(Debug)]
pub(super) struct Identity {
    secret: settings::Secret,
    own_update: member::Update,
    encoded_update: Vec<u8>,
}

/// The nonces of both sides of one handshake.
struct Nonces {
    opener: Nonce,
    acceptor: Nonce,
}

impl Role {
    fn opposite(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }

    // The MAC covers the role, so that a proof can't be reflected to the side that made it.
    fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"fireflywheel link 1 opener",
            Self::Acceptor => b"fireflywheel link 1 acceptor",
        }
    }
}

impl Identity {
    pub(super) fn new(secret: settings::Secret, own_update: member::Update) -> Self {
        let mut encoded_update = Vec::new();
        ciborium::into_writer(&own_update, &mut encoded_update)
            .expect("an update always serializes to CBOR");
        Self {
            secret,
            own_update,
            encoded_update,
        }
    }

    /// Returns whether this instance advertises `address`.
    pub(super) fn has_address(&self, address: &SmolStr) -> bool {
        self.own_update.address == *address
    }

    /// Authenticates an incoming connection.
    pub(super) async fn accept(&self, stream: TcpStream) -> Result<Connection, Failure> {
        let _ = stream.set_nodelay(true);
        let mut socket =
            accept_async_with_config(stream, Some(websocket_config(MAX_HANDSHAKE_MESSAGE_BYTES)))
                .await
                .map_err(|_| Failure::Handshake)?;
        let nonces = Nonces {
            opener: receive_nonce(&mut socket).await?,
            acceptor: generate_nonce(),
        };
        send(&mut socket, nonces.acceptor.to_vec()).await?;
        let peer = self
            .receive_proof(&mut socket, Role::Opener, &nonces)
            .await?;
        // The opener sends nothing until it has this proof, so replacing the socket loses no buffered bytes.
        let mut socket = raise_message_limit(socket, protocol::Role::Server).await;
        send(&mut socket, self.encode_proof(Role::Acceptor, &nonces)).await?;
        let start = receive(&mut socket).await?;
        if !start.is_empty() {
            return Err(Failure::Handshake);
        }
        Ok(Connection { socket, peer })
    }

    /// Connects to `address` and authenticates the connection.
    pub(super) async fn open(&self, address: &str) -> Result<Connection, Failure> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| Failure::Connect)?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (mut socket, _) = client_async_with_config(
            url,
            stream,
            Some(websocket_config(MAX_HANDSHAKE_MESSAGE_BYTES)),
        )
        .await
        .map_err(|_| Failure::Handshake)?;
        let opener = generate_nonce();
        send(&mut socket, opener.to_vec()).await?;
        let nonces = Nonces {
            opener,
            acceptor: receive_nonce(&mut socket).await?,
        };
        send(&mut socket, self.encode_proof(Role::Opener, &nonces)).await?;
        let peer = self
            .receive_proof(&mut socket, Role::Acceptor, &nonces)
            .await?;
        // The acceptor sends nothing until it has the empty message, so replacing the socket loses no
        // buffered bytes.
        let mut socket = raise_message_limit(socket, protocol::Role::Client).await;
        send(&mut socket, Vec::new()).await?;
        Ok(Connection { socket, peer })
    }

    fn compute_mac(&self, role: Role, nonces: &Nonces, encoded_update: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(role.label());
        mac.update(&nonces.opener);
        mac.update(&nonces.acceptor);
        mac.update(encoded_update);
        mac
    }

    fn encode_proof(&self, role: Role, nonces: &Nonces) -> Vec<u8> {
        let mac = self.compute_mac(role, nonces, &self.encoded_update);
        let mut message = mac.finalize().into_bytes().to_vec();
        message.extend_from_slice(&self.encoded_update);
        message
    }

    async fn receive_proof(
        &self,
        socket: &mut Socket,
        role: Role,
        nonces: &Nonces,
    ) -> Result<member::Update, Failure> {
        let message = receive(socket).await?;
        let (proof, encoded_update) = message
            .split_at_checked(PROOF_BYTES)
            .ok_or(Failure::Handshake)?;
        // `verify_slice` compares in constant time. The update is parsed only after its proof was verified.
        self.compute_mac(role, nonces, encoded_update)
            .verify_slice(proof)
            .map_err(|_| Failure::Handshake)?;
        let peer: member::Update =
            ciborium::from_reader(encoded_update).map_err(|_| Failure::Handshake)?;
        if peer.by.instance != self.own_update.by.instance {
            return Ok(peer);
        }
        log::debug!(
            instance = self.own_update.by.instance.as_str();
            "dropped a link to an instance with the name of this one, local role {:?}", role.opposite()
        );
        Err(Failure::SelfConnection)
    }
}

fn websocket_config(max_message_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(max_message_bytes))
        .max_frame_size(Some(max_message_bytes))
}

async fn raise_message_limit(socket: Socket, role: protocol::Role) -> Socket {
    let stream = socket.into_inner();
    WebSocketStream::from_raw_socket(stream, role, Some(websocket_config(wire::MAX_FRAME_BYTES)))
        .await
}

fn generate_nonce() -> Nonce {
    let mut nonce = Nonce::default();
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

async fn send(socket: &mut Socket, message: Vec<u8>) -> Result<(), Failure> {
    let sent = socket.send(Message::Binary(message.into())).await;
    sent.map_err(|_| Failure::Handshake)
}

async fn receive(socket: &mut Socket) -> Result<Bytes, Failure> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(bytes),
        _ => Err(Failure::Handshake),
    }
}

async fn receive_nonce(socket: &mut Socket) -> Result<Nonce, Failure> {
    let bytes = receive(socket).await?;
    Nonce::try_from(&bytes[..]).map_err(|_| Failure::Handshake)
}

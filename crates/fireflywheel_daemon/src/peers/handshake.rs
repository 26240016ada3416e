//! The handshake of a link: each side proves that it knows the key, bound to both sides' fresh nonces, to its
//! role and to what it says of itself.
//!
//! | step | opener | acceptor |
//! |---|---|---|
//! | 1 | its nonce | |
//! | 2 | | its nonce |
//! | 3 | its proof and introduction | |
//! | 4 | | its proof and introduction |
//! | 5 | an empty message: go | |
//!
//! A stranger who connects gets a random number and nothing else. Frames follow only after step 5, so that no
//! byte of them is read under the small size limit that holds before.

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

/// Bytes of a nonce and of a proof.
const LENGTH: usize = 32;
/// The largest message before the key is proven, in bytes.
const SMALL: usize = 2048;
/// Initial buffers of a link, in bytes. The library's own would take a quarter of a megabyte a link.
const BUFFER: usize = 8 << 10;

type Socket = WebSocketStream<TcpStream>;
type Nonce = [u8; LENGTH];

/// Which side of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// The one that connected.
    Opener,
    /// The other.
    Acceptor,
}

/// Why there is no link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// Nobody answers.
    Connect,
    /// Not the protocol, or not the key.
    Handshake,
    /// It is this process itself.
    Own,
}

/// A link to a peer that has proven the key.
#[derive(Debug)]
pub(super) struct Proven {
    pub(super) socket: Socket,
    pub(super) peer: member::Update,
}

/// The key, and what this instance says of itself.
#[derive(Debug)]
pub(super) struct Identity {
    secret: settings::Secret,
    me: member::Update,
    introduction: Vec<u8>,
}

/// The nonces of both sides.
struct Nonces {
    opener: Nonce,
    acceptor: Nonce,
}

impl Role {
    fn other(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }

    // Part of what is proven: without it a proof could be sent back to the one who made it.
    fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"fireflywheel link 1 opener",
            Self::Acceptor => b"fireflywheel link 1 acceptor",
        }
    }
}

impl Identity {
    pub(super) fn new(secret: settings::Secret, me: member::Update) -> Self {
        let mut introduction = Vec::new();
        ciborium::into_writer(&me, &mut introduction).expect("an update always has a CBOR form");
        Self {
            secret,
            me,
            introduction,
        }
    }

    /// Whether this instance tells others that address.
    pub(super) fn is_at(&self, address: &SmolStr) -> bool {
        self.me.address == *address
    }

    /// Takes a connection.
    pub(super) async fn accept(&self, stream: TcpStream) -> Result<Proven, Failure> {
        let _ = stream.set_nodelay(true);
        let mut socket = accept_async_with_config(stream, Some(config(SMALL)))
            .await
            .map_err(|_| Failure::Handshake)?;
        let nonces = Nonces {
            opener: receive_nonce(&mut socket).await?,
            acceptor: fresh_nonce(),
        };
        send(&mut socket, nonces.acceptor.to_vec()).await?;
        let peer = self
            .receive_proof(&mut socket, Role::Opener, &nonces)
            .await?;
        // The opener is silent until it has our proof, so nothing is lost with the small buffer.
        let mut socket = enlarge(socket, protocol::Role::Server).await;
        send(&mut socket, self.prove(Role::Acceptor, &nonces)).await?;
        let go = receive(&mut socket).await?;
        if !go.is_empty() {
            return Err(Failure::Handshake);
        }
        Ok(Proven { socket, peer })
    }

    /// Connects to `address`.
    pub(super) async fn open(&self, address: &str) -> Result<Proven, Failure> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| Failure::Connect)?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (mut socket, _) = client_async_with_config(url, stream, Some(config(SMALL)))
            .await
            .map_err(|_| Failure::Handshake)?;
        let opener = fresh_nonce();
        send(&mut socket, opener.to_vec()).await?;
        let nonces = Nonces {
            opener,
            acceptor: receive_nonce(&mut socket).await?,
        };
        send(&mut socket, self.prove(Role::Opener, &nonces)).await?;
        let peer = self
            .receive_proof(&mut socket, Role::Acceptor, &nonces)
            .await?;
        // The acceptor is silent until our go.
        let mut socket = enlarge(socket, protocol::Role::Client).await;
        send(&mut socket, Vec::new()).await?;
        Ok(Proven { socket, peer })
    }

    fn mac(&self, role: Role, nonces: &Nonces, introduction: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.bytes())
            .expect("HMAC takes keys of any length");
        mac.update(role.label());
        mac.update(&nonces.opener);
        mac.update(&nonces.acceptor);
        mac.update(introduction);
        mac
    }

    fn prove(&self, role: Role, nonces: &Nonces) -> Vec<u8> {
        let mac = self.mac(role, nonces, &self.introduction);
        let mut message = mac.finalize().into_bytes().to_vec();
        message.extend_from_slice(&self.introduction);
        message
    }

    async fn receive_proof(
        &self,
        socket: &mut Socket,
        role: Role,
        nonces: &Nonces,
    ) -> Result<member::Update, Failure> {
        let message = receive(socket).await?;
        let (proof, introduction) = message.split_at_checked(LENGTH).ok_or(Failure::Handshake)?;
        // Compared in constant time, and before anything of the introduction is parsed.
        self.mac(role, nonces, introduction)
            .verify_slice(proof)
            .map_err(|_| Failure::Handshake)?;
        let peer: member::Update =
            ciborium::from_reader(introduction).map_err(|_| Failure::Handshake)?;
        if peer.by.instance != self.me.by.instance {
            return Ok(peer);
        }
        log::debug!(
            instance = self.me.by.instance.as_str();
            "a link led to an instance of this name, as {:?}", role.other()
        );
        Err(Failure::Own)
    }
}

fn config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(0)
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

async fn enlarge(socket: Socket, role: protocol::Role) -> Socket {
    let stream = socket.into_inner();
    WebSocketStream::from_raw_socket(stream, role, Some(config(wire::MAX_FRAME_BYTES))).await
}

fn fresh_nonce() -> Nonce {
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

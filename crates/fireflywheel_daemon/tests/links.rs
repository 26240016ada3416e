//! Tests of the peer listener with clients that lack the key and with peers that send invalid messages. The
//! daemon must close the link, count the failure and continue to serve requests.

mod rig;

use fireflywheel::{member, record, wire};
use fireflywheel_standin::process;
use futures_util::{SinkExt as _, StreamExt as _};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

const PROOF_BYTES: usize = 32;
const OPENER: &[u8] = b"fireflywheel link 1 opener";
const ACCEPTOR: &[u8] = b"fireflywheel link 1 acceptor";

/// Maximum number of concurrent incoming handshakes of a daemon.
const MAX_HANDSHAKES: usize = 32;

type Socket = WebSocketStream<TcpStream>;

/// A daemon that is ready, with its surroundings.
struct Fixture {
    rig: rig::Rig,
    daemon: process::Child,
}

/// The nonces of both sides of one handshake.
struct Nonces {
    opener: [u8; PROOF_BYTES],
    acceptor: [u8; PROOF_BYTES],
}

impl Fixture {
    async fn start() -> Self {
        let rig = rig::Rig::start().await;
        let daemon = rig.daemon("a1", "").await;
        rig.publish().await;
        rig.ready(&daemon).await;
        Self { rig, daemon }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.daemon.address("peer"))
            .await
            .expect("the daemon listens")
    }

    async fn websocket(&self) -> Socket {
        let url = format!("ws://{}/", self.daemon.address("peer"));
        client_async(url, self.connect().await)
            .await
            .expect("the daemon accepts the WebSocket handshake")
            .0
    }

    /// Performs a handshake with a proof made with `key` for `role`. Returns the socket and the daemon's
    /// proof, if the daemon sent one.
    async fn handshake(&self, key: &str, role: &[u8]) -> (Socket, Option<Vec<u8>>) {
        let mut socket = self.websocket().await;
        let nonces = exchange_nonces(&mut socket).await;
        let mut update_bytes = Vec::new();
        ciborium::into_writer(&peer_update(), &mut update_bytes)
            .expect("an update serializes to CBOR");
        let mut proof = mac(key, role, &nonces, &update_bytes);
        proof.extend_from_slice(&update_bytes);
        send(&mut socket, proof).await;
        let answer = receive(&mut socket).await;
        if let Some(answer) = &answer {
            let (proof, encoded_update) = answer.split_at(PROOF_BYTES);
            assert_eq!(proof, mac(rig::KEY, ACCEPTOR, &nonces, encoded_update));
            send(&mut socket, Vec::new()).await;
        }
        (socket, answer)
    }

    /// Opens an authenticated link, as a peer does.
    async fn open_link(&self) -> Socket {
        let (socket, answer) = self.handshake(rig::KEY, OPENER).await;
        let answer = answer.expect("the daemon proves the key");
        let update: member::Update =
            ciborium::from_reader(&answer[PROOF_BYTES..]).expect("the answer contains an update");
        assert_eq!(update.by.instance, "a1");
        socket
    }

    /// Waits until the daemon has counted a link failure with this cause.
    async fn await_failure(&self, cause: &str) {
        let name = format!("fireflywheel_link_failures_total{{cause=\"{cause}\"}}");
        let counted = async || self.rig.metric(&self.daemon, &name).await > 0;
        self.rig.until(&self.daemon, counted).await;
    }

    async fn assert_still_serving(&self) {
        let answer = self.rig.ask(&self.daemon).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let stderr = self.daemon.stderr();
        assert!(!stderr.contains("panicked"), "{stderr}");
        assert!(!stderr.contains(rig::KEY));
    }
}

fn peer_update() -> member::Update {
    member::Update {
        by: record::Incarnation {
            instance: "b1".into(),
            number: 7,
        },
        address: "127.0.0.1:1".into(),
        failure_domain: "fd2".into(),
        state: member::State::Alive,
        refutation: 0,
    }
}

async fn exchange_nonces(socket: &mut Socket) -> Nonces {
    let opener = [7; PROOF_BYTES];
    send(socket, opener.to_vec()).await;
    let acceptor = receive(socket).await.expect("the daemon sends a nonce");
    Nonces {
        opener,
        acceptor: acceptor.try_into().expect("the nonce has 32 bytes"),
    }
}

fn mac(key: &str, role: &[u8], nonces: &Nonces, encoded_update: &[u8]) -> Vec<u8> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(role);
    mac.update(&nonces.opener);
    mac.update(&nonces.acceptor);
    mac.update(encoded_update);
    mac.finalize().into_bytes().to_vec()
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) {
    socket
        .send(Message::Binary(bytes.into()))
        .await
        .expect("the link is up");
}

/// Returns the next binary message, or `None` if the daemon has closed the link.
async fn receive(socket: &mut Socket) -> Option<Vec<u8>> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => return Some(bytes.to_vec()),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            _ => return None,
        }
    }
}

/// Waits until the daemon has closed the link.
async fn wait_until_closed(mut socket: Socket) {
    while receive(&mut socket).await.is_some() {}
}

/// A client without the key connects to the peer address. It must receive a random nonce and nothing else,
/// not even the instance's name.
#[tokio::test]
async fn key_is_wrong() {
    let fixture = Fixture::start().await;
    let (_, answer) = fixture
        .handshake("a key that some stranger made up", OPENER)
        .await;
    assert_eq!(answer, None);
    fixture.await_failure("handshake").await;
    fixture.assert_still_serving().await;
}

/// A client sends back a proof that was made for the other role, as an attacker who has observed a handshake
/// could.
#[tokio::test]
async fn proof_is_of_the_other_role() {
    let fixture = Fixture::start().await;
    let (_, answer) = fixture.handshake(rig::KEY, ACCEPTOR).await;
    assert_eq!(answer, None);
    fixture.await_failure("handshake").await;
    fixture.assert_still_serving().await;
}

/// A client replays the proof of an earlier handshake. The daemon must refuse it, because its nonce has
/// changed.
#[tokio::test]
async fn proof_is_replayed() {
    let fixture = Fixture::start().await;
    let mut update_bytes = Vec::new();
    ciborium::into_writer(&peer_update(), &mut update_bytes).expect("an update serializes to CBOR");
    let recorded = exchange_nonces(&mut fixture.websocket().await).await;
    let mut proof = mac(rig::KEY, OPENER, &recorded, &update_bytes);
    proof.extend_from_slice(&update_bytes);
    let mut socket = fixture.websocket().await;
    let nonces = exchange_nonces(&mut socket).await;
    assert_ne!(nonces.acceptor, recorded.acceptor);
    send(&mut socket, proof).await;
    assert_eq!(receive(&mut socket).await, None);
    fixture.await_failure("handshake").await;
    fixture.assert_still_serving().await;
}

/// Messages that a client sends instead of a valid nonce.
macro_rules! invalid_nonces {
    ($($name:ident: $message:expr;)*) => {$(
        /// A client speaks the WebSocket protocol but not the link protocol. The daemon closes the connection
        /// without an answer.
        #[tokio::test]
        async fn $name() {
            let fixture = Fixture::start().await;
            let mut socket = fixture.websocket().await;
            let _ = socket.send($message).await;
            wait_until_closed(socket).await;
            fixture.await_failure("handshake").await;
            fixture.assert_still_serving().await;
        }
    )*};
}

invalid_nonces! {
    nonce_is_short: Message::Binary(vec![1; 31].into());
    nonce_is_long: Message::Binary(vec![1; 33].into());
    nonce_is_empty: Message::Binary(Vec::new().into());
    nonce_is_text: Message::Text("hello".into());
    nonce_is_a_megabyte: Message::Binary(vec![1; 1 << 20].into());
    nonce_is_a_frame: Message::Binary(ping(1).encode().into());
    closes_at_once: Message::Close(None);
}

/// Bytes that are not a WebSocket handshake arrive at the peer port, as from a port scan or a misdirected
/// caller.
#[tokio::test]
async fn bytes_are_not_a_websocket() {
    let fixture = Fixture::start().await;
    for bytes in [
        &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &[0; 4096],
    ] {
        let mut stream = fixture.connect().await;
        stream.write_all(bytes).await.expect("the daemon reads");
        stream.shutdown().await.expect("the daemon listens");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        let rest = String::from_utf8_lossy(&rest).into_owned();
        assert!(!rest.contains("a1"), "{rest}");
    }
    fixture.await_failure("handshake").await;
    fixture.assert_still_serving().await;
}

/// Connections that send nothing must not block peers. The daemon closes connections beyond the maximum at
/// once and the others after the handshake timeout. Then a peer can connect.
#[tokio::test]
async fn silent_connections_do_not_block_peers() {
    let fixture = Fixture::start().await;
    let mut connections = Vec::new();
    for _ in 0..=MAX_HANDSHAKES {
        connections.push(fixture.connect().await);
    }
    fixture.await_failure("limit").await;
    fixture.await_failure("slow").await;
    for mut stream in connections {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
    }
    close_link(fixture.open_link().await).await;
    fixture.assert_still_serving().await;
}

async fn close_link(mut socket: Socket) {
    socket.close(None).await.expect("the link is up");
    wait_until_closed(socket).await;
}

fn ping(number: u64) -> wire::Frame {
    wire::Frame::Ping {
        number,
        digest: wire::Digest::default(),
        gossip: Vec::new(),
    }
}

/// The daemon handles the frames of an authenticated peer, including those sent immediately after the
/// handshake.
#[tokio::test]
async fn frames_are_answered() {
    let fixture = Fixture::start().await;
    let mut socket = fixture.open_link().await;
    send(&mut socket, ping(41).encode()).await;
    loop {
        let bytes = receive(&mut socket).await.expect("the link stays up");
        if let wire::Frame::Pong { number: 41, .. } =
            wire::Frame::decode(&bytes).expect("the daemon sends a frame")
        {
            break;
        }
    }
    fixture.assert_still_serving().await;
}

/// Messages of an authenticated peer that can't be decoded as a frame, with the cause that is counted.
macro_rules! invalid_frames {
    ($($name:ident: $message:expr => $cause:literal;)*) => {$(
        /// An authenticated peer sends a message that isn't a frame, as a faulty build could. The daemon
        /// closes the link and continues to serve requests.
        #[tokio::test]
        async fn $name() {
            let fixture = Fixture::start().await;
            let mut socket = fixture.open_link().await;
            // The daemon may close the link while a long message is still being sent.
            let _ = socket.send($message).await;
            wait_until_closed(socket).await;
            fixture.await_failure($cause).await;
            fixture.assert_still_serving().await;
        }
    )*};
}

invalid_frames! {
    frame_is_not_cbor: Message::Binary(vec![0xff; 64].into()) => "malformed";
    frame_is_other_cbor: Message::Binary(vec![0x83, 1, 2, 3].into()) => "malformed";
    frame_is_empty: Message::Binary(Vec::new().into()) => "malformed";
    frame_is_truncated: Message::Binary(ping(1).encode()[..6].to_vec().into()) => "malformed";
    // The daemon must not allocate memory for an array that claims 2^32 items and contains none.
    frame_claims_too_many_items: Message::Binary(vec![0x9a, 0xff, 0xff, 0xff, 0xff].into()) => "malformed";
    // Deep nesting must not overflow the stack.
    frame_is_deeply_nested: Message::Binary(vec![0x81; 1 << 20].into()) => "malformed";
    frame_is_text: Message::Text("{}".into()) => "malformed";
    frame_is_too_long: Message::Binary(vec![0; wire::MAX_FRAME_BYTES + 1].into()) => "long";
}

/// Two instances that know each other's address connect to each other at the same time. They must keep one
/// link, over which both receive the same configuration.
#[tokio::test]
async fn pair_keeps_one_link() {
    let fixture = Fixture::start().await;
    let seeds = format!("seeds = {}\n", fixture.daemon.address("peer"));
    let second = fixture.rig.daemon("b1", &seeds).await;
    fixture.rig.ready(&second).await;
    for daemon in [&fixture.daemon, &second] {
        let linked = async || fixture.rig.metric(daemon, "fireflywheel_links").await == 1;
        fixture.rig.until(daemon, linked).await;
    }
    fixture.assert_still_serving().await;
}

/// An instance has a wrong key by mistake. It gets no links, and the other instances count the failure in a
/// metric.
#[tokio::test]
async fn instance_has_another_key() {
    let fixture = Fixture::start().await;
    let seeds = format!("seeds = {}\n", fixture.daemon.address("peer"));
    let other = fixture
        .rig
        .daemon_with_key("b1", "a key of another deployment", &seeds)
        .await;
    fixture.await_failure("handshake").await;
    assert_eq!(fixture.rig.metric(&other, "fireflywheel_links").await, 0);
    assert_eq!(
        fixture
            .rig
            .metric(&fixture.daemon, "fireflywheel_links")
            .await,
        0
    );
    fixture.assert_still_serving().await;
}

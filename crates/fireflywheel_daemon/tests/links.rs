//! What the peers' door does with strangers and with peers that send nonsense: the link ends, it is counted,
//! and the daemon goes on.

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

const LENGTH: usize = 32;
const OPENER: &[u8] = b"fireflywheel link 1 opener";
const ACCEPTOR: &[u8] = b"fireflywheel link 1 acceptor";

/// Handshakes that a daemon takes at once.
const HANDSHAKES: usize = 32;

type Socket = WebSocketStream<TcpStream>;

/// A ready daemon.
struct Door {
    rig: rig::Rig,
    daemon: process::Child,
}

/// What a peer knows before it proves the key.
struct Nonces {
    opener: [u8; LENGTH],
    acceptor: [u8; LENGTH],
}

impl Door {
    async fn open() -> Self {
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
            .expect("the daemon speaks the websocket protocol")
            .0
    }

    /// A link whose handshake is proven with `key`; what the daemon sent last, if it sent anything.
    async fn prove(&self, key: &str, role: &[u8]) -> (Socket, Option<Vec<u8>>) {
        let mut socket = self.websocket().await;
        let nonces = exchange(&mut socket).await;
        let mut me = Vec::new();
        ciborium::into_writer(&introduction(), &mut me).expect("an update has a CBOR form");
        let mut proof = mac(key, role, &nonces, &me);
        proof.extend_from_slice(&me);
        send(&mut socket, proof).await;
        let answer = receive(&mut socket).await;
        if let Some(answer) = &answer {
            let (proof, introduction) = answer.split_at(LENGTH);
            assert_eq!(proof, mac(rig::KEY, ACCEPTOR, &nonces, introduction));
            send(&mut socket, Vec::new()).await;
        }
        (socket, answer)
    }

    /// A link as a peer has it.
    async fn link(&self) -> Socket {
        let (socket, answer) = self.prove(rig::KEY, OPENER).await;
        let answer = answer.expect("the daemon proves the key as well");
        let update: member::Update =
            ciborium::from_reader(&answer[LENGTH..]).expect("an update has a CBOR form");
        assert_eq!(update.by.instance, "a1");
        socket
    }

    /// Waits until a failure was counted.
    async fn counted(&self, cause: &str) {
        let name = format!("fireflywheel_link_failures_total{{cause=\"{cause}\"}}");
        let counted = async || self.rig.metric(&self.daemon, &name).await > 0;
        self.rig.until(&self.daemon, counted).await;
    }

    async fn goes_on(&self) {
        let answer = self.rig.ask(&self.daemon).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let stderr = self.daemon.stderr();
        assert!(!stderr.contains("panicked"), "{stderr}");
        assert!(!stderr.contains(rig::KEY));
    }
}

fn introduction() -> member::Update {
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

async fn exchange(socket: &mut Socket) -> Nonces {
    let opener = [7; LENGTH];
    send(socket, opener.to_vec()).await;
    let acceptor = receive(socket).await.expect("a nonce");
    Nonces {
        opener,
        acceptor: acceptor.try_into().expect("the length of a nonce"),
    }
}

fn mac(key: &str, role: &[u8], nonces: &Nonces, introduction: &[u8]) -> Vec<u8> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(role);
    mac.update(&nonces.opener);
    mac.update(&nonces.acceptor);
    mac.update(introduction);
    mac.finalize().into_bytes().to_vec()
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) {
    socket
        .send(Message::Binary(bytes.into()))
        .await
        .expect("the link is up");
}

/// The next binary message; `None` when the other side has ended the link.
async fn receive(socket: &mut Socket) -> Option<Vec<u8>> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => return Some(bytes.to_vec()),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            _ => return None,
        }
    }
}

/// Waits until the other side has ended the link.
async fn ended(mut socket: Socket) {
    while receive(&mut socket).await.is_some() {}
}

/// Somebody on the network connects to the peer address without the key. It learns a random number and no
/// more: not even the instance's name.
#[tokio::test]
async fn key_is_wrong() {
    let door = Door::open().await;
    let (_, answer) = door.prove("a key that some stranger made up", OPENER).await;
    assert_eq!(answer, None);
    door.counted("handshake").await;
    door.goes_on().await;
}

/// A stranger sends a proof back that was made for the other role, as one could who has seen a handshake.
#[tokio::test]
async fn proof_is_of_the_other_role() {
    let door = Door::open().await;
    let (_, answer) = door.prove(rig::KEY, ACCEPTOR).await;
    assert_eq!(answer, None);
    door.counted("handshake").await;
    door.goes_on().await;
}

/// A stranger records a whole handshake and plays it again. The daemon's nonce is another then.
#[tokio::test]
async fn proof_is_replayed() {
    let door = Door::open().await;
    let mut me = Vec::new();
    ciborium::into_writer(&introduction(), &mut me).expect("an update has a CBOR form");
    let recorded = exchange(&mut door.websocket().await).await;
    let mut proof = mac(rig::KEY, OPENER, &recorded, &me);
    proof.extend_from_slice(&me);
    let mut socket = door.websocket().await;
    let nonces = exchange(&mut socket).await;
    assert_ne!(nonces.acceptor, recorded.acceptor);
    send(&mut socket, proof).await;
    assert_eq!(receive(&mut socket).await, None);
    door.counted("handshake").await;
    door.goes_on().await;
}

/// Messages that a stranger sends where the handshake should be.
macro_rules! strangers {
    ($($name:ident: $message:expr;)*) => {$(
        /// A stranger speaks the websocket protocol, but not ours. The connection ends without an answer.
        #[tokio::test]
        async fn $name() {
            let door = Door::open().await;
            let mut socket = door.websocket().await;
            let _ = socket.send($message).await;
            ended(socket).await;
            door.counted("handshake").await;
            door.goes_on().await;
        }
    )*};
}

strangers! {
    nonce_is_short: Message::Binary(vec![1; 31].into());
    nonce_is_long: Message::Binary(vec![1; 33].into());
    nonce_is_empty: Message::Binary(Vec::new().into());
    nonce_is_text: Message::Text("hello".into());
    nonce_is_a_megabyte: Message::Binary(vec![1; 1 << 20].into());
    nonce_is_a_frame: Message::Binary(ping(1).encode().into());
    closes_at_once: Message::Close(None);
}

/// Bytes that are no websocket reach the peer port, as from a port scan or a caller at the wrong address.
#[tokio::test]
async fn garbage() {
    let door = Door::open().await;
    for bytes in [
        &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &[0; 4096],
    ] {
        let mut stream = door.connect().await;
        stream.write_all(bytes).await.expect("the daemon reads");
        stream.shutdown().await.expect("the daemon listens");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        let rest = String::from_utf8_lossy(&rest).into_owned();
        assert!(!rest.contains("a1"), "{rest}");
    }
    door.counted("handshake").await;
    door.goes_on().await;
}

/// Connections that say nothing must not keep peers out: beyond a number they are closed unheard, and each of
/// them ends by itself, after which a peer gets in.
#[tokio::test]
async fn strangers_are_silent() {
    let door = Door::open().await;
    let mut silent = Vec::new();
    for _ in 0..=HANDSHAKES {
        silent.push(door.connect().await);
    }
    door.counted("limit").await;
    door.counted("slow").await;
    for mut stream in silent {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
    }
    ended_by_us(door.link().await).await;
    door.goes_on().await;
}

async fn ended_by_us(mut socket: Socket) {
    socket.close(None).await.expect("the link is up");
    ended(socket).await;
}

fn ping(number: u64) -> wire::Frame {
    wire::Frame::Ping {
        number,
        digest: wire::Digest::default(),
        gossip: Vec::new(),
    }
}

/// A proven peer's frames are heard, also those that follow its handshake at once.
#[tokio::test]
async fn frames_are_answered() {
    let door = Door::open().await;
    let mut socket = door.link().await;
    send(&mut socket, ping(41).encode()).await;
    loop {
        let bytes = receive(&mut socket).await.expect("the link stays up");
        if let wire::Frame::Pong { number: 41, .. } = wire::Frame::decode(&bytes).expect("a frame")
        {
            break;
        }
    }
    door.goes_on().await;
}

/// Messages of a proven peer that no frame can be read from, with the cause that is counted.
macro_rules! nonsense {
    ($($name:ident: $message:expr => $cause:literal;)*) => {$(
        /// A peer that knows the key sends what isn't a frame, such as a build with a fault. Its link ends;
        /// requests go on.
        #[tokio::test]
        async fn $name() {
            let door = Door::open().await;
            let mut socket = door.link().await;
            // The daemon may end the link while a long message is still on its way.
            let _ = socket.send($message).await;
            ended(socket).await;
            door.counted($cause).await;
            door.goes_on().await;
        }
    )*};
}

nonsense! {
    frame_is_not_cbor: Message::Binary(vec![0xff; 64].into()) => "malformed";
    frame_is_other_cbor: Message::Binary(vec![0x83, 1, 2, 3].into()) => "malformed";
    frame_is_empty: Message::Binary(Vec::new().into()) => "malformed";
    frame_is_cut: Message::Binary(ping(1).encode()[..6].to_vec().into()) => "malformed";
    // An array that claims 2^32 items and has none must not be allocated for.
    frame_claims_too_much: Message::Binary(vec![0x9a, 0xff, 0xff, 0xff, 0xff].into()) => "malformed";
    // Deep nesting must not use up the stack.
    frame_is_deep: Message::Binary(vec![0x81; 1 << 20].into()) => "malformed";
    frame_is_text: Message::Text("{}".into()) => "malformed";
    frame_is_too_long: Message::Binary(vec![0; wire::MAX_FRAME_BYTES + 1].into()) => "long";
}

/// Two instances that know each other's address connect to each other at the same time. One link stays, over
/// which both hear of the same configuration.
#[tokio::test]
async fn one_link_for_a_pair() {
    let door = Door::open().await;
    let seeds = format!("seeds = {}\n", door.daemon.address("peer"));
    let second = door.rig.daemon("b1", &seeds).await;
    door.rig.ready(&second).await;
    for daemon in [&door.daemon, &second] {
        let linked = async || door.rig.metric(daemon, "fireflywheel_links").await == 1;
        door.rig.until(daemon, linked).await;
    }
    door.goes_on().await;
}

/// An instance was given another key by mistake. It stays without links, and the others say so in a metric.
#[tokio::test]
async fn instance_has_another_key() {
    let door = Door::open().await;
    let seeds = format!("seeds = {}\n", door.daemon.address("peer"));
    let stray = door
        .rig
        .daemon_with_key("b1", "a key of another deployment", &seeds)
        .await;
    door.counted("handshake").await;
    assert_eq!(door.rig.metric(&stray, "fireflywheel_links").await, 0);
    assert_eq!(door.rig.metric(&door.daemon, "fireflywheel_links").await, 0);
    door.goes_on().await;
}

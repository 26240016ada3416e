//! Stand-ins that run in the test process.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time;

use fireflywheel_standin::{client, engine, fault};
use tokio::{net, task};

/// A server that stops when it is dropped.
pub struct Server {
    pub base: String,
    task: task::JoinHandle<anyhow::Result<()>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Binds a free port and runs the server that `serve` creates from the listener.
    pub async fn start<F, S>(serve: F) -> Self
    where
        F: FnOnce(net::TcpListener) -> S,
        S: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        let listener = net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("free port");
        let base = format!("http://{}", listener.local_addr().expect("bound address"));
        let task = task::spawn(serve(listener));
        Self { base, task }
    }

    pub async fn engine(options: engine::Options) -> Self {
        Self::start(|listener| engine::serve(listener, options)).await
    }

    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    pub async fn set(&self, change: fault::Change) {
        client::Client::new()
            .set_faults(&self.base, &change)
            .await
            .expect("answer of the stand-in");
    }

    pub async fn counts(&self) -> engine::Counts {
        client::Client::new()
            .counts(&self.base)
            .await
            .expect("answer of the stand-in")
    }

    /// Polls the counts until `condition` holds.
    pub async fn wait_for_counts<F>(&self, condition: F) -> engine::Counts
    where
        F: Fn(&engine::Counts) -> bool,
    {
        loop {
            let counts = self.counts().await;
            if condition(&counts) {
                return counts;
            }
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }

    pub async fn order(&self, order: &engine::Order) -> client::Answer {
        let url = self.url("/v1/orders");
        client::Client::new()
            .post_json(&url, order)
            .await
            .expect("answer of the stand-in")
    }

    /// Sends a chat request whose message, and so its echo, is the request id.
    pub async fn chat(&self, id: &str, stream: bool, tokens: usize) -> client::Events {
        self.try_chat(id, stream, tokens)
            .await
            .expect("answer of the stand-in")
    }

    pub async fn try_chat(
        &self,
        id: &str,
        stream: bool,
        tokens: usize,
    ) -> anyhow::Result<client::Events> {
        let prompt = engine::Prompt {
            model: "quote".into(),
            messages: vec![engine::Message {
                role: "user".into(),
                content: id.into(),
            }],
            stream,
            max_tokens: Some(tokens),
        };
        client::Client::new()
            .with_header("x-request-id", id)
            .open_json(&self.url("/v1/chat/completions"), &prompt)
            .await
    }
}

/// Creates an order for the model that the tests use.
pub fn order(kind: engine::Kind, fencing: u64) -> engine::Order {
    engine::Order::new(kind, fencing).with_item("quote@1", 1000)
}

/// Starts an engine and loads the model with fencing number 1.
pub async fn loaded(options: engine::Options) -> Server {
    let server = Server::engine(options).await;
    let answer = server.order(&order(engine::Kind::Load, 1)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    server
}

/// Options with short durations.
pub fn quick() -> engine::Options {
    engine::Options {
        load_ms: 1,
        adapter_ms: 1,
        token_us: 200,
        ..engine::Options::default()
    }
}

/// Reads a stream to its end. Returns its events, and whether the connection broke.
pub async fn read_to_end(mut events: client::Events) -> (Vec<String>, bool) {
    let mut received = Vec::new();
    loop {
        match events.next().await {
            Ok(Some(event)) => received.push(event),
            Ok(None) => return (received, false),
            Err(_) => return (received, true),
        }
    }
}

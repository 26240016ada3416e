//! What a node wants done: the output of [`crate::node::Node::step`].

use smol_str::SmolStr;

use crate::{claim, order, request, wire};

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append this text to the log and say what came of it. Never more than one at a time.
    Append(String),
    /// Go on reading the log from this offset, in place of any earlier read.
    ReadFrom(u64),
    /// Open a link to a peer, unless there is one.
    Connect {
        /// The peer's name, when known: another name that answers there is taken as well.
        instance: SmolStr,
        /// `IP:PORT`.
        address: SmolStr,
    },
    /// End the link to a peer.
    Disconnect(SmolStr),
    /// Send a frame to a peer; dropped when there is no link.
    Send {
        /// The peer's name.
        to: SmolStr,
        /// The frame.
        frame: wire::Frame,
    },
    /// Ask these backend servers for load reports from now on, and no others.
    PollReports(Vec<SmolStr>),
    /// Send an order to an engine and say what came of it.
    Order {
        /// Names this sending.
        attempt_id: order::AttemptId,
        /// The engine's address.
        server: SmolStr,
        /// The order.
        command: order::Command,
    },
    /// Send a request to a backend server, once, and say what came of it.
    Dispatch {
        /// The request.
        request: request::Key,
        /// The backend server's address.
        server: SmolStr,
    },
    /// Ask the engine to go on with a stream whose connection broke.
    Resume {
        /// The request.
        request: request::Key,
        /// The backend server's address, the same as before.
        server: SmolStr,
        /// Events that the caller has already.
        from: u64,
    },
    /// The final answer to a request that isn't served.
    Refuse {
        /// The request.
        request: request::Key,
        /// The answer.
        refusal: request::Refusal,
    },
    /// The final answer to a repeat of a request that ran before.
    Replay {
        /// The request.
        request: request::Key,
        /// The outcome of the first.
        outcome: claim::Outcome,
    },
    /// Something an operator should read, once.
    Notice(Notice),
    /// Everything in progress is finished and handed over: end the process.
    Exit,
}

/// Something an operator should read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Notice {
    /// Whether it calls for an operator.
    pub alarm: bool,
    /// In one sentence.
    pub text: String,
}

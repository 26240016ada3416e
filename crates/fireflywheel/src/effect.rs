//! Output of [`crate::node::Node::step`]: the effects to execute.

use smol_str::SmolStr;

use crate::{claim, order, request, wire};

/// An effect to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Appends this text to the log and reports the result. At most one append is in progress at a time.
    Append(String),
    /// Reads the log from this offset, in place of any earlier read.
    ReadFrom(u64),
    /// Opens a link to a peer, unless one is open.
    Connect {
        /// The peer's name, or an empty text if it is not known. A peer with another name that answers at
        /// the address is accepted too.
        instance: SmolStr,
        /// The peer's address, as `IP:PORT`.
        address: SmolStr,
    },
    /// Closes the link to a peer.
    Disconnect(SmolStr),
    /// Sends a frame to a peer; the frame is dropped if there is no link.
    Send {
        /// The peer's name.
        to: SmolStr,
        /// The frame.
        frame: wire::Frame,
    },
    /// Polls the load reports of exactly these backend servers from now on.
    PollReports(Vec<SmolStr>),
    /// Sends an order to an engine and reports the result.
    Order {
        /// Identifies this attempt to send the order.
        attempt_id: order::AttemptId,
        /// The engine's address.
        server: SmolStr,
        /// The order.
        command: order::Command,
    },
    /// Sends a request to a backend server once, and reports the result.
    Dispatch {
        /// The request.
        request: request::Key,
        /// The backend server's address.
        server: SmolStr,
    },
    /// Asks the engine to resume a stream whose connection broke.
    Resume {
        /// The request.
        request: request::Key,
        /// The backend server's address, the same as before.
        server: SmolStr,
        /// Number of events that the caller already received.
        from: u64,
    },
    /// The final answer to a request that is not served.
    Refuse {
        /// The request.
        request: request::Key,
        /// The answer.
        refusal: request::Refusal,
    },
    /// The final answer to a repeated request that ran before.
    Replay {
        /// The request.
        request: request::Key,
        /// The outcome of the first request.
        outcome: claim::Outcome,
    },
    /// Reports a notice to operators, once.
    Notice(Notice),
    /// Ends the process: all work in progress is finished and handed over.
    Exit,
}

/// A notice for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Notice {
    /// Whether the notice requires an operator's action.
    pub alarm: bool,
    /// The notice, in one sentence.
    pub text: String,
}

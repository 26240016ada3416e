//! Input events of [`crate::node::Node::step`].

use smol_str::SmolStr;

use crate::{member, order, record, report, request, wire, writer};

/// An input event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent every [`crate::node::TICK_INTERVAL`].
    Tick,
    /// The log returned the result of a read.
    LogRead {
        /// The oldest offset that the log retains.
        first: u64,
        /// The offset of the next record to be appended.
        next: u64,
        /// The records in order, starting at the requested offset.
        records: Vec<record::Stored>,
    },
    /// The log could not be read.
    LogReadFailed,
    /// The result of [`crate::effect::Effect::Append`].
    Appended(writer::Answer),
    /// The platform's instance list was read.
    InstancesListed(Vec<report::ListEntry>),
    /// A link to a peer is open, and the peer has proven knowledge of the shared key. The update describes
    /// the peer itself.
    LinkUp(member::Update),
    /// The link to a peer closed.
    LinkDown(record::Incarnation),
    /// A frame arrived over a link.
    Frame {
        /// The sender.
        from: record::Incarnation,
        /// The frame.
        frame: wire::Frame,
    },
    /// A backend server returned its load report.
    ReportReceived {
        /// The backend server's address.
        server: SmolStr,
        /// The load report.
        report: report::Report,
    },
    /// A backend server returned no load report.
    ReportFailed {
        /// The backend server's address.
        server: SmolStr,
    },
    /// The result of [`crate::effect::Effect::Order`].
    OrderAnswered {
        /// The attempt to send the order.
        attempt_id: order::AttemptId,
        /// The result of the attempt.
        answer: order::Answer,
    },
    /// Progress or result of [`crate::effect::Effect::Dispatch`] or [`crate::effect::Effect::Resume`].
    AttemptUpdated {
        /// The request.
        request: request::Key,
        /// The state of the attempt.
        attempt: request::Attempt,
    },
    /// The caller disconnected.
    CallerGone(request::Key),
    /// A planned shutdown was requested.
    Stop,
}

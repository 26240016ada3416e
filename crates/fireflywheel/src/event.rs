//! What happens round a node: the input of [`crate::node::Node::step`].

use smol_str::SmolStr;

use crate::{member, order, record, report, request, wire, writer};

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent every [`crate::node::TICK_INTERVAL`].
    Tick,
    /// The log answered a read.
    LogRead {
        /// The oldest offset that it retains.
        first: u64,
        /// The offset that its next record gets.
        next: u64,
        /// In order, from the offset that was asked for.
        records: Vec<record::Stored>,
    },
    /// The log could not be read.
    LogReadFailed,
    /// What came of [`crate::effect::Effect::Append`].
    Appended(writer::Answer),
    /// The platform's list.
    InstancesListed(Vec<report::ListEntry>),
    /// A link to a peer is open: it has proven the key. The update tells of the peer itself.
    LinkUp(member::Update),
    /// A link ended.
    LinkDown(record::Incarnation),
    /// A frame came in over a link.
    Frame {
        /// Who sent it.
        from: record::Incarnation,
        /// What it says.
        frame: wire::Frame,
    },
    /// A backend server's load report.
    ReportReceived {
        /// Its address.
        server: SmolStr,
        /// The report.
        report: report::Report,
    },
    /// A backend server gave no report.
    ReportFailed {
        /// Its address.
        server: SmolStr,
    },
    /// What came of [`crate::effect::Effect::Order`].
    OrderAnswered {
        /// Which sending.
        attempt_id: order::AttemptId,
        /// What is known.
        answer: order::Answer,
    },
    /// What came of [`crate::effect::Effect::Dispatch`] or [`crate::effect::Effect::Resume`].
    AttemptUpdated {
        /// The request.
        request: request::Key,
        /// What is known.
        attempt: request::Attempt,
    },
    /// The caller has gone.
    CallerGone(request::Key),
    /// A planned stop was asked for.
    Stop,
}

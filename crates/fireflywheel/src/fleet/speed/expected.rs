//! What a request can expect of a server: when its first event comes, and how far apart its events are.

use std::time::Duration;

/// The time to read one prompt token where it isn't known, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.04;
/// The time between two events where it isn't known, in milliseconds.
const EVENT_MS: f64 = 10.0;
/// The time that a request runs where it isn't known, in milliseconds.
const RUN_MS: f64 = 500.0;
/// The number of prompt tokens that engines read at a time, between the events of the other requests.
const CHUNK_TOKENS: f64 = 1024.0;
/// The time until all instances know that a place has become free, in milliseconds: the report to the steward, its next
/// broadcast, and the next look of a waiting request. A server gets only as many requests beyond its slots as end there
/// within this time. More would wait there, although they could still go to whichever server has room first.
const NEWS_DELAY_MS: f64 = 150.0;
/// The share of a server's slots that other instances may have filled since the steward's report. Each choice assumes
/// a random number of requests up to it, so that instances that know the same don't all choose the same server.
const UNSEEN_RATIO: f64 = 0.5;
/// The cost of a server all of whose slots are in use, in multiples of the objective. Requests that run together share
/// the engine's memory, and a stream pauses when the engine runs out of it.
const LOAD_COST: f64 = 0.1;
/// The least objective, in milliseconds, so that an objective of zero causes no division by zero.
const MIN_OBJECTIVE_MS: f64 = 1.0;

/// What is usual in the group of a server, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usual {
    /// The time to read one prompt token, in milliseconds.
    pub prefill_ms: Option<f64>,
    /// The time between two events, in milliseconds; `None` also if requests are answered as a whole.
    pub event_ms: Option<f64>,
    /// The time that a request runs.
    pub run_time: Option<Duration>,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The objective for the first event, or for a whole answer.
    pub objective: Duration,
    /// The longest time that events may be apart; `None` if there is no limit.
    pub max_event_gap: Option<Duration>,
    /// Whether it is answered by a stream of events.
    pub is_stream: bool,
}

/// The part of a server's room that an instance may fill until the steward's next broadcast.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The number of instances at which requests wait that the server could run.
    pub rivals: u32,
    /// The number of requests that this instance has sent to the server since the last broadcast.
    pub sent: u32,
    /// A random number from 0 to 1 for each instance, server and broadcast.
    pub draw: f64,
}

/// What a request can expect of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    request: Request,
    usual: Usual,
    slowness: f64,
    /// The prompt tokens that the server has to read before the request's first event, its own included.
    unread_tokens: f64,
    share: Share,
}

impl Expected {
    /// Creates the expectation of a request at a server that has to read `unread_tokens` before its first event.
    #[must_use]
    pub fn new(request: Request, usual: Usual, slowness: f64, unread_tokens: f64) -> Self {
        Self {
            request,
            usual,
            slowness,
            unread_tokens,
            share: Share::default(),
        }
    }

    /// Sets the part of the server's room that this instance may fill.
    #[must_use]
    pub fn with_share(mut self, share: Share) -> Self {
        self.share = share;
        self
    }

    /// The same at a server that is as fast as usual.
    #[must_use]
    pub fn at_usual_speed(self) -> Self {
        Self {
            slowness: 1.0,
            ..self
        }
    }

    /// How long work takes at the server, relative to what is usual.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    fn run_ms(&self) -> f64 {
        let usual = self.usual.run_time;
        usual.map_or(RUN_MS, |time| time.as_secs_f64() * 1000.0) * self.slowness
    }

    fn read_ms(&self, tokens: f64) -> f64 {
        tokens * self.usual.prefill_ms.unwrap_or(PREFILL_MS_PER_TOKEN) * self.slowness
    }

    fn event_ms(&self) -> f64 {
        self.usual.event_ms.unwrap_or(EVENT_MS) * self.slowness
    }

    /// The time from the start of the request's run to its first event or its answer, in milliseconds.
    fn serve_ms(&self) -> f64 {
        match self.request.is_stream {
            true => self.read_ms(self.unread_tokens) + self.event_ms(),
            false => self.read_ms(self.unread_tokens) + self.run_ms(),
        }
    }

    /// Whether events are expected to be no further apart than the request allows.
    #[must_use]
    pub fn keeps_pace(&self) -> bool {
        let Some(max_gap) = self.request.max_event_gap else {
            return true;
        };
        let chunk = self.read_ms(self.unread_tokens.min(CHUNK_TOKENS));
        self.event_ms() + chunk <= max_gap.as_secs_f64() * 1000.0
    }

    /// The number of requests up to which the server gets more, with at most `queue_ratio` of its slots beyond them. A
    /// server that is twice as slow as usual gets none beyond its slots.
    #[must_use]
    pub fn max_requests(&self, slots: u32, queue_ratio: f64, reserved: f64) -> f64 {
        let slots = f64::from(slots);
        let queue_ratio = queue_ratio * (2.0 - self.slowness).clamp(0.0, 1.0);
        let soon_free = NEWS_DELAY_MS * slots / self.run_ms().max(1.0);
        let beyond = soon_free.min(slots * queue_ratio);
        slots.max(slots + beyond - reserved)
    }

    /// Whether this instance may send one more request, if all instances know of this many at the server. Instances at
    /// which requests wait share the room: all learn of it at the same time, and would otherwise fill it several times
    /// over.
    #[must_use]
    pub fn is_within_share(&self, requests: f64, max_requests: f64) -> bool {
        let Share { rivals, sent, draw } = self.share;
        let sent = f64::from(sent);
        let room = (max_requests - requests + sent).max(0.0);
        rivals == 0 || sent < (room / f64::from(rivals) + draw).floor()
    }

    /// The cost of sending the request to the server with this many requests there, in multiples of the objective.
    /// `draw`, from 0 to 1, sets how many requests others are assumed to have sent since.
    #[must_use]
    pub fn cost(&self, requests: f64, slots: u32, draw: f64) -> f64 {
        let slots = f64::from(slots.max(1));
        let requests = requests + slots * UNSEEN_RATIO * draw;
        let wait_ms = (requests + 1.0 - slots).max(0.0) * self.run_ms() / slots;
        let objective_ms = self.request.objective.as_secs_f64() * 1000.0;
        (wait_ms + self.serve_ms()) / objective_ms.max(MIN_OBJECTIVE_MS)
            + LOAD_COST * requests / slots
    }
}

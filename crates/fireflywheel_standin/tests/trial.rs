//! Tests the parts of a trial: the drawn faults and load, the link faults, and each rule that a trial checks.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel_standin::site::worker::EVENTS;
use fireflywheel_standin::trial::book::{Book, Probe};
use fireflywheel_standin::trial::caller::{self, Answer, Call, Kind, Origin, Outcome, Seen};
use fireflywheel_standin::trial::proxy::{Flow, Proxy};
use fireflywheel_standin::trial::replay::{Options, Pattern, arrivals};
use fireflywheel_standin::trial::script::{Action, Faults, Sizes, releases, steps, versions};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

const SIZES: Sizes = Sizes {
    instances: 3,
    engines: 3,
    workers: 5,
};

fn answer(status: u16) -> Outcome {
    Outcome::Answer(Answer {
        status: StatusCode::from_u16(status).expect("the status is valid"),
        signed: true,
        id: Some("r1".into()),
        has_retry_after: false,
        states_end: true,
        flaw: None,
    })
}

fn request(kind: Kind, outcome: Outcome) -> Seen {
    Seen {
        call: Call {
            id: "r1".into(),
            kind,
            model: None,
            prompt: None,
            size: 0,
            deadline: Duration::from_secs(2),
            origin: None,
            leaves_after: None,
        },
        instance: 0,
        sent: time::Instant::now(),
        first: Duration::ZERO,
        whole: Duration::from_millis(20),
        outcome,
        status: None,
        text: String::new(),
    }
}

/// Checks the number of violations for a request of this kind, with this number of runs and this outcome.
fn assert_request(kind: Kind, runs: usize, outcome: Outcome, violations: usize) {
    let mut book = Book::new(Faults::Planned);
    for _ in 0..runs {
        book.record_worker_line(&"w1".into(), "run r1");
    }
    book.record_request(request(kind, outcome));
    assert_eq!(
        book.violations().len(),
        violations,
        "{:?}",
        book.violations()
    );
}

/// Checks that a changed answer to a look-up violates one rule.
fn assert_answer_violates(change: fn(&mut Answer)) {
    let Outcome::Answer(mut answer) = answer(200) else {
        unreachable!("the outcome is an answer");
    };
    change(&mut answer);
    assert_request(Kind::LookUp, 1, Outcome::Answer(answer), 1);
}

/// Checks the number of violations in lines that workers write.
fn assert_lines(lines: &[(&str, &str)], violations: usize) {
    let mut book = Book::new(Faults::Any);
    for (worker, line) in lines {
        book.record_worker_line(&(*worker).into(), line);
    }
    assert_eq!(
        book.violations().len(),
        violations,
        "{:?}",
        book.violations()
    );
}

/// Checks the number of violations when incarnation 1 of an instance knows a version and `incarnation` does not know
/// it later.
fn assert_version_lost(incarnation: u64, violations: usize) {
    let mut book = Book::new(Faults::Any);
    let now = time::Instant::now();
    let later = now + Duration::from_secs(1);
    let probe = |incarnation, known, at| Probe {
        instance: (0, incarnation),
        version: 7,
        known,
        asked: at,
        answered: at,
    };
    book.record_probe(probe(1, true, now));
    book.record_probe(probe(incarnation, false, later));
    assert_eq!(
        book.violations().len(),
        violations,
        "{:?}",
        book.violations()
    );
}

/// The steps of any seed are in order of time, and each process that is killed or paused and each link and store that
/// fails is started, resumed or healed later.
fn check_any_script() {
    arbtest(|u| {
        let faults = *u.choose(&[Faults::Any, Faults::Planned, Faults::Versions])?;
        let steps = steps(u.arbitrary()?, faults, Duration::from_secs(10), SIZES);
        assert!(steps.is_sorted_by_key(|step| step.at));
        for step in &steps {
            let recovery = match step.action {
                Action::Kill(place) => Action::Start(place),
                Action::Pause(place) => Action::Resume(place),
                Action::PauseWorker(place) => Action::ResumeWorker(place),
                Action::SetStoreOutage(true) => Action::SetStoreOutage(false),
                Action::BreakLink(link, _) => Action::HealLink(link),
                _ => continue,
            };
            let later = steps.iter().filter(|other| other.at > step.at);
            assert!(later.into_iter().any(|other| other.action == recovery));
        }
        Ok(())
    });
}

/// The same options give the same load, in order of time, for existing instances and models.
fn check_any_load() {
    arbtest(|u| {
        let (_, pattern) = *u.choose(&Pattern::NAMES)?;
        let options = Options {
            program: "unused".into(),
            pattern,
            seed: u.arbitrary()?,
            time: Duration::from_secs(5),
            rate: 50.0,
            instances: 3,
            engines: 2,
            models: 6,
            log_level: "info",
        };
        let load = arrivals(&options);
        assert_eq!(load, arrivals(&options));
        assert!(load.is_sorted_by_key(|arrival| arrival.at));
        assert!(
            load.iter()
                .all(|arrival| arrival.model < 6 && arrival.instance < 3)
        );
        Ok(())
    });
}

fireflywheel_standin::cases! {
    /// A served request violates no rule.
    served_request_is_allowed => assert_request(Kind::Booking, 1, answer(200), 0);
    /// A booking ran twice.
    second_run_of_a_booking => assert_request(Kind::Booking, 2, answer(200), 1);
    /// A look-up may be retried once.
    second_run_of_a_look_up_is_allowed => assert_request(Kind::LookUp, 2, answer(200), 0);
    /// The route of a look-up allows two attempts.
    third_run_of_a_look_up => assert_request(Kind::LookUp, 3, answer(200), 1);
    /// A booking was refused as not run, but has run.
    false_refusal => assert_request(Kind::Booking, 1, answer(503), 1);
    /// The status does not say whether the request has run.
    failure_with_unknown_outcome_is_allowed => assert_request(Kind::Booking, 1, answer(502), 0);
    /// A success for a request that no worker has run.
    success_without_a_run => assert_request(Kind::LookUp, 0, answer(200), 1);
    /// A success without a worker's signature.
    unsigned_answer => assert_answer_violates(|answer| answer.signed = false);
    /// The answer to another request.
    answer_to_another_request => assert_answer_violates(|answer| answer.id = Some("r2".into()));
    /// A truncated body.
    truncated_body => assert_answer_violates(|answer| answer.flaw = Some("cut"));
    /// A stream was truncated in planned operations.
    truncated_stream => assert_request(Kind::Stream, 1, Outcome::Broken, 1);
    /// A request that ran got no answer in planned operations.
    lost_answer => assert_request(Kind::Booking, 1, Outcome::Unanswered, 1);
    /// A request was sent while its connection was being closed, and has not run.
    request_on_a_closing_connection_is_allowed => assert_request(Kind::Booking, 0, Outcome::Unanswered, 0);
    /// A request ran that no caller sent.
    run_of_an_unknown_request => assert_lines(&[("w1", "run r9")], 1);
    /// Successive holders send orders with increasing fencing tokens.
    orders_of_successive_holders_are_allowed => assert_lines(&[("w1", "order a 1"), ("w1", "order b 2"), ("w2", "order a 1")], 0);
    /// An engine accepted an order of a replaced holder.
    stale_order => assert_lines(&[("w1", "order b 2"), ("w1", "order a 1")], 1);
    /// Two holders used the same fencing token.
    shared_fencing_token => assert_lines(&[("w1", "order a 1"), ("w2", "order b 1")], 1);
    /// There were more loads from the weight store than its rate allows.
    excessive_load_rate => assert_lines(&[("w1", "fetch"); 31], 1);
    /// There were as many loads as the rate and its tolerance allow.
    highest_load_rate_is_allowed => assert_lines(&[("w1", "fetch"); 30], 0);
    /// An engine was ordered to load more than its memory holds.
    overcommitted_engine => assert_lines(&[("w1", "overcommitted")], 1);
    /// An instance knew a configuration version and later did not.
    lost_configuration_version => assert_version_lost(1, 1);
    /// A restarted process may not know the version yet.
    unknown_version_after_a_restart_is_allowed => assert_version_lost(2, 0);
    /// Each fault ends again.
    script_ends_each_fault => check_any_script();
    /// The load depends on its options only.
    load_is_reproducible => check_any_load();
}

/// Sends a byte in each direction of a link with a fault. Returns whether the upstream and the downstream byte arrive.
async fn send_through(inject: fn(&Proxy)) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let proxy = Proxy::new().await.expect("a free port");
    let target = listener.local_addr().expect("the listener is bound");
    proxy.change(|link| link.target = Some(target));
    let mut client = TcpStream::connect(proxy.address())
        .await
        .expect("the proxy listens");
    let (mut server, _) = listener.accept().await.expect("the proxy connects");
    inject(&proxy);
    client
        .write_all(b"u")
        .await
        .expect("the connection is open");
    server
        .write_all(b"d")
        .await
        .expect("the connection is open");
    let upstream = receives_byte(&mut server).await;
    (upstream, receives_byte(&mut client).await)
}

async fn receives_byte(stream: &mut TcpStream) -> bool {
    // A held byte shows only by its absence for some time. A byte that arrives ends the wait at once.
    let byte = time::timeout(Duration::from_millis(300), stream.read_u8()).await;
    matches!(byte, Ok(Ok(_)))
}

/// A link forwards bytes, and holds them back in one or both directions under a fault.
#[tokio::test]
async fn link_faults_stop_their_directions() {
    assert_eq!(send_through(|_| {}).await, (true, true));
    let held_up = |proxy: &Proxy| proxy.change(|link| link.upstream = Flow::Held);
    assert_eq!(send_through(held_up).await, (false, true));
    let held_down = |proxy: &Proxy| proxy.change(|link| link.downstream = Flow::Held);
    assert_eq!(send_through(held_down).await, (true, false));
    assert_eq!(send_through(Proxy::silence).await, (false, false));
    assert_eq!(send_through(Proxy::reset).await, (false, false));
}

/// Returns what the checker of callers finds in a stream.
fn stream_flaw(text: &str, states_end: bool) -> Option<&'static str> {
    let call = Call {
        id: "r".into(),
        kind: Kind::Stream,
        model: Some("m1".into()),
        prompt: None,
        size: 0,
        deadline: Duration::from_secs(1),
        origin: None,
        leaves_after: None,
    };
    caller::find_flaw(&call, text.as_bytes(), states_end)
}

/// Returns the events of a stream up to one, all of them marked in the same way.
fn stream(mark: &str, last: u64) -> String {
    let events = 1..=last;
    events
        .map(|id| format!("id: {id}\n{mark}data: t{id}\n\n"))
        .collect()
}

/// Guards against a checker that doesn't find a short stream, or that finds one where nobody said that it is whole.
#[test]
fn short_stream_is_a_flaw_if_its_end_is_stated() {
    for mark in ["", "version: v2\n"] {
        assert_eq!(stream_flaw(&stream(mark, EVENTS), true), None);
        assert!(stream_flaw(&stream(mark, EVENTS - 1), true).is_some());
        assert_eq!(stream_flaw(&stream(mark, EVENTS - 1), false), None);
    }
}

/// Guards against a checker that doesn't find events of two versions in a stream.
#[test]
fn mixed_stream_is_a_flaw() {
    let other = stream("version: v2\n", EVENTS);
    let mixed = stream("", 3) + &other[other.find("id: 4").expect("there is a fourth event")..];
    for states_end in [true, false] {
        let flaw = stream_flaw(&mixed, states_end);
        assert_eq!(flaw, Some("the stream has events of two versions"));
    }
}

/// Returns a request for the stream that began with `r1`: a new one, or one that takes it up after an event.
fn attempt(id: &str, after: Option<u64>, text: &str) -> Seen {
    let mut seen = request(Kind::Stream, Outcome::Broken);
    seen.call.id = id.into();
    seen.call.origin = after.map(|last| Origin {
        id: "r1".into(),
        last,
    });
    seen.status = Some(StatusCode::OK);
    seen.text = text.into();
    seen
}

/// Returns the number of streams in whose attempts the checker finds events of two versions, missing or double.
fn order_violations(attempts: &[Seen]) -> usize {
    let mut book = Book::new(Faults::Versions);
    for attempt in attempts {
        book.record_request(attempt.clone());
    }
    let violations = book.violations();
    let order = violations
        .iter()
        .filter(|line| line.starts_with("ORDER: r1 "));
    order.count()
}

/// Guards against a checker that doesn't find events of two versions in different attempts, or that counts an event that
/// broke off.
#[test]
fn versions_mixed_over_attempts_are_found() {
    let [first, other] = ["", "version: v3\n"].map(|mark| stream(mark, EVENTS));
    let rest = |events: &str, id: u64| {
        let start = events.find(&format!("id: {id}\n"));
        events[start.expect("there is this event")..].to_owned()
    };
    let begun = attempt("r1", None, &(stream("", 3) + "id: 4\nda"));
    let none = attempt("r1-r1", Some(3), "");
    let sound = attempt("r1-r2", Some(3), &rest(&first, 4));
    assert_eq!(order_violations(&[begun.clone(), none.clone(), sound]), 0);
    for wrong in [rest(&other, 4), rest(&first, 5), rest(&first, 3)] {
        let wrong = attempt("r1-r2", Some(3), &wrong);
        assert_eq!(order_violations(&[begun.clone(), none.clone(), wrong]), 1);
    }
}

/// Returns whether the checker finds that too few streams go on: `went_on` of `taken_up`, beside 20 new ones that begin,
/// with this number of engines of their version.
fn is_lost(taken_up: usize, went_on: usize, engines: usize) -> bool {
    let mut book = Book::new(Faults::Versions);
    book.record_serving([("v1".into(), engines)].into());
    for number in 0..20 {
        let mut new = attempt("r1", None, &stream("", 1));
        new.call.id = format!("r{}", 1 + number).into();
        book.record_request(new);
        if number < taken_up {
            let text = if number < went_on {
                "id: 2\ndata: t2\n\n"
            } else {
                ""
            };
            book.record_request(attempt(&format!("back-{number}"), Some(1), text));
        }
    }
    let resumed = book.quiet_tally();
    let counted = if engines < 2 {
        (0, 0)
    } else {
        (taken_up, went_on)
    };
    assert_eq!((resumed.taken_up, resumed.went_on), counted);
    let violations = book.violations();
    violations.iter().any(|line| line.starts_with("LOST: "))
}

/// Guards against a checker that doesn't find that streams don't go on while new ones begin.
#[test]
fn too_few_streams_that_go_on_are_found() {
    assert!(!is_lost(20, 18, 2));
    assert!(is_lost(20, 17, 2));
    assert!(is_lost(12, 10, 2));
    assert!(!is_lost(11, 0, 2));
    assert!(!is_lost(20, 0, 1));
}

/// Guards against releases that change the other faults of a seed, or that take an engine back to an earlier version.
#[test]
fn releases_come_beside_the_faults_of_a_seed() {
    let time = Duration::from_secs(10);
    for seed in 0..50 {
        let is_release =
            |action: &Action| matches!(action, Action::Upgrade(..) | Action::EndReplaced);
        let mut others = steps(seed, Faults::Versions, time, SIZES);
        others.retain(|step| !is_release(&step.action));
        let list = |steps: Vec<_>| format!("{steps:?}");
        assert_eq!(list(others), list(steps(seed, Faults::Any, time, SIZES)));
        let first = versions(seed, SIZES.engines);
        let (among_faults, last) = releases(seed, time, SIZES);
        assert_eq!(
            among_faults.is_empty(),
            first.iter().all(|version| *version == 1)
        );
        let mut newest = first.into_iter().max().expect("there are engines");
        for step in among_faults.into_iter().chain(last) {
            if let Action::Upgrade(engine, version) = step.action {
                assert!(engine < SIZES.engines && version >= newest);
                newest = version;
            }
        }
    }
}

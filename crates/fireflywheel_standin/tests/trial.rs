//! What a trial judges by: its faults, its links, and each promise that it checks.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel_standin::trial::book::{Book, Probe};
use fireflywheel_standin::trial::caller::{Answer, Call, Kind, Outcome, Seen};
use fireflywheel_standin::trial::proxy::{Flow, Proxy};
use fireflywheel_standin::trial::replay::{Options, Pattern, arrivals};
use fireflywheel_standin::trial::script::{Action, Faults, Sizes, steps};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

const SIZES: Sizes = Sizes {
    instances: 3,
    workers: 5,
};

fn answer(status: u16) -> Outcome {
    Outcome::Answer(Answer {
        status: StatusCode::from_u16(status).expect("a status"),
        signed: true,
        id: Some("r1".into()),
        has_retry_after: false,
        flaw: None,
    })
}

fn seen(kind: Kind, outcome: Outcome) -> Seen {
    Seen {
        call: Call {
            id: "r1".into(),
            kind,
            model: None,
            size: 0,
            deadline: Duration::from_secs(2),
        },
        instance: 0,
        sent: time::Instant::now(),
        first: Duration::ZERO,
        whole: Duration::from_millis(20),
        outcome,
    }
}

/// A request of this kind that ran so often and ended so breaks this many promises.
fn judged(kind: Kind, runs: usize, outcome: Outcome, broken: usize) {
    let mut book = Book::new(Faults::Planned);
    for _ in 0..runs {
        book.worker_wrote(&"w1".into(), "run r1");
    }
    book.saw(seen(kind, outcome));
    assert_eq!(book.broken().len(), broken, "{:?}", book.broken());
}

fn flawed(change: fn(&mut Answer)) {
    let Outcome::Answer(mut answer) = answer(200) else {
        unreachable!("an answer was made");
    };
    change(&mut answer);
    judged(Kind::LookUp, 1, Outcome::Answer(answer), 1);
}

fn lines(lines: &[(&str, &str)], broken: usize) {
    let mut book = Book::new(Faults::Any);
    for (worker, line) in lines {
        book.worker_wrote(&(*worker).into(), line);
    }
    assert_eq!(book.broken().len(), broken, "{:?}", book.broken());
}

fn reverted(life: u64, broken: usize) {
    let mut book = Book::new(Faults::Any);
    let now = time::Instant::now();
    let later = now + Duration::from_secs(1);
    let probe = |life, known, at| Probe {
        instance: (0, life),
        version: 7,
        known,
        asked: at,
        answered: at,
    };
    book.probed(probe(1, true, now));
    book.probed(probe(life, false, later));
    assert_eq!(book.broken().len(), broken, "{:?}", book.broken());
}

/// Steps of any seed come in order, and what is ended or paused is started or resumed later.
fn any_script() {
    arbtest(|u| {
        let faults = if u.arbitrary()? {
            Faults::Any
        } else {
            Faults::Planned
        };
        let steps = steps(u.arbitrary()?, faults, Duration::from_secs(10), SIZES);
        assert!(steps.is_sorted_by_key(|step| step.at));
        for step in &steps {
            let back = match step.action {
                Action::Kill(place) => Action::Start(place),
                Action::Pause(place) => Action::Resume(place),
                Action::PauseWorker(place) => Action::ResumeWorker(place),
                Action::StoreOut(true) => Action::StoreOut(false),
                Action::Break(place, _) => Action::Heal(place),
                _ => continue,
            };
            let later = steps.iter().filter(|other| other.at > step.at);
            assert!(later.into_iter().any(|other| other.action == back));
        }
        Ok(())
    });
}

fn any_load() {
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
    /// What a caller wants to see.
    served => judged(Kind::Booking, 1, answer(200), 0);
    /// A booking ran twice.
    booked_twice => judged(Kind::Booking, 2, answer(200), 1);
    /// A look-up may be repeated once.
    looked_up_twice => judged(Kind::LookUp, 2, answer(200), 0);
    /// Its route allows no third run.
    looked_up_three_times => judged(Kind::LookUp, 3, answer(200), 1);
    /// A booking was refused as not run, and has run.
    false_refusal => judged(Kind::Booking, 1, answer(503), 1);
    /// A failure that promises nothing.
    honest_failure => judged(Kind::Booking, 1, answer(502), 0);
    /// A success that no worker made.
    made_up => judged(Kind::LookUp, 0, answer(200), 1);
    /// A success without a worker's signature.
    unsigned => flawed(|answer| answer.signed = false);
    /// The answer to another request.
    crossed => flawed(|answer| answer.id = Some("r2".into()));
    /// A body that isn't whole.
    not_whole => flawed(|answer| answer.flaw = Some("cut"));
    /// A stream broke off in planned work.
    cut => judged(Kind::Stream, 1, Outcome::Broken, 1);
    /// A request that ran got no answer in planned work.
    lost => judged(Kind::Booking, 1, Outcome::Unanswered, 1);
    /// One that crossed the close of its connection and didn't run.
    crossed_a_close => judged(Kind::Booking, 0, Outcome::Unanswered, 0);
    /// A request ran that nobody sent.
    not_sent => lines(&[("w1", "run r9")], 1);
    /// Orders of one holder after another.
    orders => lines(&[("w1", "order a 1"), ("w1", "order b 2"), ("w2", "order a 1")], 0);
    /// An engine took an order of a holder that had been replaced.
    stale_order => lines(&[("w1", "order b 2"), ("w1", "order a 1")], 1);
    /// Two holders with one fencing token.
    two_holders => lines(&[("w1", "order a 1"), ("w2", "order b 1")], 1);
    /// More loads from the weight store than it allows.
    too_many_loads => lines(&[("w1", "fetch"); 31], 1);
    /// As many as it allows.
    loads => lines(&[("w1", "fetch"); 30], 0);
    /// An engine was ordered to load more than it holds.
    overcommitted => lines(&[("w1", "overcommitted")], 1);
    /// An instance knew a version and then not.
    version_lost => reverted(1, 1);
    /// A process that was started anew may not know it yet.
    started_anew => reverted(2, 0);
    /// Any seed.
    script => any_script();
    /// Any load.
    load => any_load();
}

/// Who connects sends a byte each way through a link; gives whether the one up and the one down arrive.
async fn through(trouble: fn(&Proxy)) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let proxy = Proxy::new().await.expect("a free port");
    let target = listener.local_addr().expect("it is bound");
    proxy.change(|link| link.target = Some(target));
    let mut near = TcpStream::connect(proxy.address())
        .await
        .expect("it listens");
    let (mut far, _) = listener.accept().await.expect("it forwards");
    trouble(&proxy);
    near.write_all(b"u").await.expect("it is open");
    far.write_all(b"d").await.expect("it is open");
    let up = arrives(&mut far).await;
    (up, arrives(&mut near).await)
}

async fn arrives(stream: &mut TcpStream) -> bool {
    // A held byte can only be told by its absence for a while; a byte that gets through ends the wait at once.
    let byte = time::timeout(Duration::from_millis(300), stream.read_u8()).await;
    matches!(byte, Ok(Ok(_)))
}

/// Links carry bytes, and hold them one way or both.
#[tokio::test]
async fn links() {
    assert_eq!(through(|_| {}).await, (true, true));
    let held_up = |proxy: &Proxy| proxy.change(|link| link.up = Flow::Held);
    assert_eq!(through(held_up).await, (false, true));
    let held_down = |proxy: &Proxy| proxy.change(|link| link.down = Flow::Held);
    assert_eq!(through(held_down).await, (true, false));
    assert_eq!(through(Proxy::silence).await, (false, false));
    assert_eq!(through(Proxy::reset).await, (false, false));
}

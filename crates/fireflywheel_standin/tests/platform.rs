//! The stand-ins for the platform and for a plain service, and their faults.

mod support;

use fireflywheel_standin::{client, fault, list, log, service, store};
use support::Server;

async fn start_log(options: log::Options) -> Server {
    Server::start(|listener| log::serve(listener, options)).await
}

async fn append(log: &Server, body: &str) -> anyhow::Result<client::Answer> {
    let url = log.url("/v1/append");
    client::Client::new().post(&url, body.to_owned()).await
}

async fn read(log: &Server, from: u64, wait_ms: u64) -> log::Page {
    let url = log.url(&log::read_path(from, 100, wait_ms));
    let answer = client::Client::new()
        .get(&url)
        .await
        .expect("answer of the log");
    answer.json().expect("answer of the log")
}

fn bodies(page: &log::Page) -> Vec<&str> {
    page.records.iter().map(|record| &*record.body).collect()
}

#[tokio::test]
async fn waiting_read_returns_the_next_record() {
    let log = start_log(log::Options::default()).await;
    let (page, appended) = tokio::join!(read(&log, 0, 600_000), append(&log, "a"));
    let appended: log::Appended = appended.unwrap().json().unwrap();
    assert_eq!((appended.offset, page.next), (0, 1));
    assert_eq!(bodies(&page), ["a"]);
}

/// The log retains records for a limited time. A reader that returns late must detect by the first
/// offset that records are missing, so that it does not take the remaining records for all of them.
#[tokio::test]
async fn first_offset_shows_that_old_records_were_dropped() {
    let log = start_log(log::Options::default()).await;
    for body in ["a", "b", "c"] {
        append(&log, body).await.unwrap();
    }
    log.set(fault::Change::new().with_retain(1)).await;
    let page = read(&log, 0, 0).await;
    assert_eq!((page.first, page.next), (2, 3));
    assert_eq!(bodies(&page), ["c"]);
    append(&log, "d").await.unwrap();
    assert_eq!(read(&log, 0, 0).await.first, 3);
}

/// An append takes effect, but its answer is lost. The sender can learn this only by reading the
/// log; if it just repeats the append, the log contains the record twice.
#[tokio::test]
async fn append_with_lost_answer_took_effect() {
    let log = start_log(log::Options::default()).await;
    log.set(fault::Change::new().with_lose_answers(1)).await;
    assert_eq!(read(&log, 0, 0).await.next, 0);
    append(&log, "a").await.unwrap_err();
    assert_eq!(append(&log, "a").await.unwrap().status, 200);
    assert_eq!(bodies(&read(&log, 0, 0).await), ["a", "a"]);
}

/// The log is in an outage, or the rate limit of appends is reached. Nothing must be appended, and
/// the error code must show the reason.
#[tokio::test]
async fn outage_and_rate_limit_append_nothing() {
    let log = start_log(log::Options::default()).await;
    log.set(fault::Change::new().with_outage(true)).await;
    let refused = append(&log, "a").await.unwrap();
    assert_eq!(
        (refused.status.as_u16(), refused.code().unwrap()),
        (503, "outage".into())
    );
    let limit = fault::Change::new()
        .with_outage(false)
        .with_appends_per_second(1);
    log.set(limit).await;
    let mut appended = 0;
    let refused = loop {
        let answer = append(&log, "a").await.unwrap();
        if answer.status != 200 {
            break answer;
        }
        appended += 1;
    };
    assert_eq!(
        (refused.status.as_u16(), refused.code().unwrap()),
        (429, "rate_limited".into())
    );
    assert_eq!(read(&log, 0, 0).await.next, appended);
}

fn instance(name: &str) -> list::Instance {
    list::Instance {
        name: name.into(),
        address: "127.0.0.1:9001".into(),
        kind: list::Kind::Backend,
        group: "quote-llm".into(),
        failure_domain: "fd1".into(),
        state: list::State::Live,
    }
}

/// An instance joins, but the list still shows an earlier state. Its readers learn of the change
/// late.
#[tokio::test]
async fn list_of_instances_lags() {
    let options = list::Options {
        instances: vec![instance("a1")],
        ..list::Options::default()
    };
    let list = Server::start(|listener| list::serve(listener, options)).await;
    let client = client::Client::new();
    let entry = serde_json::to_vec(&instance("a2")).unwrap();
    let url = list.url("/v1/instances");
    let put = client.put(&format!("{url}/a2"), entry).await.unwrap();
    assert_eq!(put.status, 200);
    for (lag_ms, expected) in [(0, 2), (600_000, 1)] {
        list.set(fault::Change::new().with_lag_ms(lag_ms)).await;
        let page: list::Page = client.get(&url).await.unwrap().json().unwrap();
        assert_eq!(page.instances.len(), expected);
    }
    let deleted = client.delete(&format!("{url}/a3")).await.unwrap();
    assert_eq!(deleted.status, 404);
}

/// Many engines load concurrently, but the store limits how many loads start per second. The other
/// loads wait, and so do the requests that need them.
#[tokio::test]
async fn store_runs_loads_concurrently_and_limits_their_rate() {
    let options = store::Options {
        rate: 0.0,
        fetch_ms: 3_600_000,
        ..store::Options::default()
    };
    let store = Server::start(|listener| store::serve(listener, options)).await;
    let client = client::Client::new();
    let url = store.url("/v1/fetch");
    let fetch = store::Fetch {
        item: "quote@1".into(),
        mb: 10,
        kind: store::Kind::Model,
    };
    let counts = || async { client.counts::<store::Counts>(&store.base).await.unwrap() };
    let three_fetches = async {
        let fetch_one = || client.post_json(&url, &fetch);
        tokio::join!(fetch_one(), fetch_one(), fetch_one())
    };
    let concurrent = async { while counts().await.max_at_once < 3 {} };
    tokio::select! {
        answers = three_fetches => panic!("answered before the fetches ended: {answers:?}"),
        () = concurrent => {}
    }
    store.set(fault::Change::new().with_rate(0.001)).await;
    let first = client.post_json(&url, &fetch);
    let started = async { while counts().await.fetches < 4 {} };
    tokio::select! {
        answer = first => panic!("answered before the fetch ended: {answer:?}"),
        () = started => {}
    }
    let wait = tokio::time::Duration::from_millis(50);
    let second = tokio::time::timeout(wait, client.post_json(&url, &fetch)).await;
    second.unwrap_err();
    assert_eq!(counts().await.fetches, 4);
}

/// A deposit runs, but its answer is lost, truncated, or has a wrong request id. The number of runs
/// shows whether a router sent the request again.
#[tokio::test]
async fn plain_service_counts_runs_despite_faults() {
    let service = Server::start(|listener| service::serve(listener, Default::default())).await;
    let faults = fault::Change::new()
        .with_lose_answers(1)
        .with_cross_answers(2);
    service.set(faults).await;
    let client = client::Client::new().with_header("x-request-id", "r1");
    let url = service.url("/deposits/7");
    client.post(&url, "deposit").await.unwrap_err();
    let with_wrong_id: service::Outcome =
        client.post(&url, "deposit").await.unwrap().json().unwrap();
    assert_eq!(
        (&*with_wrong_id.id, with_wrong_id.run),
        (service::WRONG_REQUEST_ID, 2)
    );
    service.set(fault::Change::new().with_cut_answers(1)).await;
    client.post(&url, "deposit").await.unwrap_err();
    let answer = client.post(&url, "deposit").await.unwrap();
    assert_eq!(answer.header("x-request-id"), Some("r1"));
    assert_eq!(
        answer.json::<service::Outcome>().unwrap().path,
        "/deposits/7"
    );
    let counts: service::Counts = client.counts(&service.base).await.unwrap();
    assert_eq!(
        (counts.total, counts.runs["r1"], counts.bodies["deposit"]),
        (4, 4, 4)
    );
}

#[tokio::test]
async fn unknown_switch_is_refused() {
    let log = start_log(log::Options::default()).await;
    let url = log.url("/v1/faults");
    let answer = client::Client::new().post(&url, "{\"outrage\":true}").await;
    assert_eq!(answer.unwrap().status, 400);
}

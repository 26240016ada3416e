//! Requests from callers through daemons to backend servers and back, with every part as a separate process.

mod site;

use site::{Plan, Site};

/// Callers send requests for cold models to three daemons at once. The configuration allows one replica of each
/// model, so each model must be loaded once.
#[tokio::test(flavor = "multi_thread")]
async fn cold_models_are_loaded_once_and_every_caller_is_served() -> anyhow::Result<()> {
    let site = Site::start(Plan::default()).await?;
    let questions: Vec<(usize, String, String)> = (0..48)
        .map(|call| {
            (
                call % 3,
                format!("m{}", call % 4),
                format!("question {call}"),
            )
        })
        .collect();
    let calls = questions
        .iter()
        .map(|(daemon, model, text)| site.ask(*daemon, model, text));
    let answers = futures_util::future::join_all(calls).await;
    for answer in answers {
        assert_eq!(answer, Ok(()));
    }
    for model in ["m0", "m1", "m2", "m3"] {
        assert_eq!(site.loads(model).await?, 1, "{model}");
    }
    site.check_limits(1).await
}

/// A plain service answers through every daemon.
#[tokio::test(flavor = "multi_thread")]
async fn plain_service_is_reached_through_every_daemon() -> anyhow::Result<()> {
    let site = Site::start(Plan::default()).await?;
    for daemon in 0..3 {
        let url = format!("{}/bookings/7", site.caller(daemon));
        let answer = site.client.get(&url).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(site.service_counts(0).await?.total, 3);
    Ok(())
}

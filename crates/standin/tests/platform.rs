//! Sessions with the platform emulator, and its fault switches.

mod session;

use std::time::{Duration, Instant};

use mangofront_standin::platform::{self, PlatformSettings};

use session::Session;

struct Standin(Session);

impl Standin {
    async fn start(settings: &str) -> Self {
        let settings: PlatformSettings = serde_json::from_str(settings).expect("settings");
        let run = |listener, shutdown| platform::run(listener, settings, shutdown);
        Self(Session::start(run).await)
    }

    /// Makes one call and returns it with its response as a line of the session.
    async fn exchange(&self, method: &str, path: &str, body: &str) -> String {
        let answer = self.0.call(method, path, &[], body).await.expect("answer");
        format!("{method} {path} {body}\n  {answer}\n")
    }

    async fn get(&self, path: &str) -> String {
        self.exchange("GET", path, "").await
    }

    async fn control(&self, switches: &str) -> String {
        self.exchange("POST", "/control", switches).await
    }

    async fn publish(&self, value: &str) -> String {
        self.exchange("PUT", "/control/configuration", value).await
    }

    async fn stop(self) {
        self.0.stop().await;
    }
}

#[compio::test]
async fn session_of_reads_and_watches() {
    let standin = Standin::start(r#"{"configuration": {"classes": {}}}"#).await;
    let mut session = String::new();
    session += &standin.get("/v1/configuration").await;
    session += &standin.get("/v1/instances").await;
    session += &standin.get("/v1/configuration?after=1&wait_ms=1").await;
    session += &standin.publish(r#"{"whatever": [1]}"#).await;
    session += &standin.get("/v1/configuration?after=1&wait_ms=60000").await;
    session += &standin.publish("no JSON").await;
    session += &standin.get("/v1/configuration").await;
    session += &standin.control(r#"{"stale": true}"#).await;
    session += &standin.get("/v1/configuration").await;
    session += &standin.get("/v1/configuration?after=3&wait_ms=60000").await;
    session += &standin.control(r#"{"stale": false, "down": true}"#).await;
    session += &standin.get("/v1/configuration").await;
    session += &standin.control(r#"{"no_such_switch": 1}"#).await;
    session += &standin.get("/v1/configuration?after=x").await;
    session += &standin.get("/control/counters").await;
    standin.stop().await;
    insta::assert_snapshot!(session);
}

#[compio::test]
async fn waiting_watch_is_one_call_and_wakes_at_the_change() {
    let standin = Standin::start(r#"{"configuration": 1}"#).await;
    let watch = standin.get("/v1/configuration?after=1&wait_ms=60000");
    let publish = async {
        compio::time::sleep(Duration::from_millis(20)).await;
        standin.publish("2").await
    };
    let (watched, _) = futures_util::future::join(watch, publish).await;
    assert!(
        watched.contains(r#"200 {"revision": 2, "value": 2}"#),
        "{watched}"
    );
    let counters = standin.get("/control/counters").await;
    assert!(
        counters.contains(r#"{"reads":0,"watches":1}"#),
        "{counters}"
    );
    standin.stop().await;
}

#[compio::test]
async fn lagging_value_becomes_visible_to_a_watch() {
    let standin = Standin::start(r#"{"configuration": 1}"#).await;
    let lag = Duration::from_millis(150);
    let published_at = Instant::now();
    standin.control(r#"{"lag_ms": 150}"#).await;
    standin.publish("2").await;
    let read = standin.get("/v1/configuration").await;
    let is_early = published_at.elapsed() < lag;
    let expected = if is_early {
        r#""revision": 1"#
    } else {
        "revision"
    };
    assert!(read.contains(expected), "{read}");
    let watched = standin.get("/v1/configuration?after=1&wait_ms=60000").await;
    assert!(watched.contains(r#""revision": 2"#), "{watched}");
    assert!(published_at.elapsed() >= lag);
    standin.stop().await;
}

#[compio::test]
async fn hanging_watch_gets_nothing_and_does_not_stop_the_shutdown() {
    let standin = Standin::start(r#"{"configuration": 1}"#).await;
    standin.control(r#"{"hang_watches": true}"#).await;
    let watch = standin.get("/v1/configuration?after=7&wait_ms=1");
    let hung = compio::time::timeout(Duration::from_millis(200), watch).await;
    assert!(hung.is_err());
    let read = standin.get("/v1/configuration").await;
    assert!(read.contains("200"), "{read}");
    standin.stop().await;
}

#[compio::test]
async fn reads_past_the_cap_are_refused() {
    let standin = Standin::start(r#"{"configuration": 1, "reads_per_s": 2}"#).await;
    let mut refused = 0;
    // At least three of these calls fall within one second.
    for _ in 0..50 {
        let answer = standin.get("/v1/configuration").await;
        refused += usize::from(answer.contains("429"));
    }
    assert!(refused > 0);
    standin.stop().await;
}

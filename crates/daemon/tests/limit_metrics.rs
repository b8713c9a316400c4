//! Limits that clients reach count in the metrics of the product's own interface.

use {
    fuchsiatack_testkit::CellBuilder,
    reqwest::{Client, StatusCode},
    std::time::Duration,
};

/// Guards against a limit that operators cannot see, and against one that an ordinary request counts for.
#[tokio::test]
async fn each_limit_counts_by_its_name() {
    let mut cell = CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .adjust_daemon(|daemon| daemon.callers.max_body_bytes = 1_000_000)
        .start()
        .await
        .expect("the cell should start");
    let address = cell.daemon(1).caller_address();
    let client = Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(30))
        .build()
        .expect("a client without TLS needs no system support");
    let announce = |body: String| {
        let request = client.post(format!("http://{address}/v1/workers/announce"));
        request.body(body).send()
    };
    let cases = [
        ("{}".to_owned(), StatusCode::BAD_REQUEST, None),
        (
            "x".repeat(1_000_001),
            StatusCode::PAYLOAD_TOO_LARGE,
            Some("body_bytes"),
        ),
        ("[".repeat(40), StatusCode::BAD_REQUEST, Some("depth")),
        (
            format!("[{}]", vec!["1"; 70_000].join(",")),
            StatusCode::BAD_REQUEST,
            Some("elements"),
        ),
        (
            format!("{{{}}}", vec!["\"\":1"; 140_000].join(",")),
            StatusCode::BAD_REQUEST,
            Some("fields"),
        ),
    ];

    for (body, status, limit) in cases {
        let response = announce(body).await.expect("the daemon should respond");
        assert_eq!(response.status(), status, "{limit:?}");
        let text = cell.metrics(1).await.expect("the metrics should be readable");
        let counted: Vec<_> = text
            .lines()
            .filter(|line| line.starts_with("fuchsiatack_client_limits_total{"))
            .collect();
        match limit {
            None => assert!(counted.is_empty(), "{counted:?}"),
            Some(limit) => {
                let line =
                    format!("fuchsiatack_client_limits_total{{address=\"callers\",limit=\"{limit}\"}} 1");
                assert!(counted.contains(&line.as_str()), "{counted:?}");
            }
        }
    }
    cell.stop().await.expect("all processes should exit with code 0");
}

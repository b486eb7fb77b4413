//! HTTP client and polling helper for the tests of the stand-ins.

#![allow(dead_code, reason = "each test crate uses only some of the items")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::Method;
use awc::http::header::HeaderMap;
use serde_json::Value;

/// Time limit for each request and each wait. It leaves a large margin on an idle machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);

pub struct TestResponse {
    pub status: u16,
    pub headers: HeaderMap,
    /// Body, or `None` if the connection ended before the length in `Content-Length`.
    pub body: Option<Vec<u8>>,
}

impl TestResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(self.body.as_ref().expect("the body is complete")).expect("the body is JSON")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().expect("the header is text"))
    }
}

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

/// Sends a request on a new connection. Returns `None` if the connection ended without a response.
pub async fn send(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<TestResponse> {
    let method = Method::from_bytes(method.as_bytes()).expect("the method is valid");
    let mut req = Client::builder().timeout(TIMEOUT).finish().request(method, format!("http://{to}{path}"));
    for header in headers {
        req = req.insert_header(*header);
    }
    let mut response = req.send_body(body.to_string()).await.ok()?;
    let headers = response.headers().clone();
    let content_length = headers.get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    // awc 3.11 does not report an error when the connection closes before the end of the body.
    let body = response.body().limit(32 << 20).await.ok().filter(|b| content_length == Some(b.len()));
    Some(TestResponse { status: response.status().as_u16(), headers, body: body.map(|b| b.to_vec()) })
}

pub async fn get(to: SocketAddr, path: &str) -> Option<TestResponse> {
    send("GET", to, path, &[], "").await
}

/// Polls `condition` until it is true. Panics with `description` after [`TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "timed out after {TIMEOUT:?}: {description}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

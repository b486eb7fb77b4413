//! HTTP client and waiting for the tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::Method;
use awc::http::header::HeaderMap;
use serde_json::Value;

/// Longest time that anything here may take; nothing comes near it on an idle machine.
pub const LIMIT: Duration = Duration::from_secs(10);

pub struct Received {
    pub status: u16,
    pub headers: HeaderMap,
    /// `None` if the connection ended before the announced length.
    pub body: Option<Vec<u8>>,
}

impl Received {
    pub fn json(&self) -> Value {
        serde_json::from_slice(self.body.as_ref().expect("a complete body")).expect("JSON")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().expect("text"))
    }
}

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Sends one request on its own connection; `None` if the connection ended without an answer.
pub async fn send(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Received> {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
    let mut req = Client::builder().timeout(LIMIT).finish().request(method, format!("http://{to}{path}"));
    for header in headers {
        req = req.insert_header(*header);
    }
    let mut response = req.send_body(body.to_string()).await.ok()?;
    let headers = response.headers().clone();
    let announced = headers.get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    // awc 3.11 ends the body without an error when the connection closes early.
    let body = response.body().limit(32 << 20).await.ok().filter(|b| announced == Some(b.len()));
    Some(Received { status: response.status().as_u16(), headers, body: body.map(|b| b.to_vec()) })
}

pub async fn get(to: SocketAddr, path: &str) -> Option<Received> {
    send("GET", to, path, &[], "").await
}

pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

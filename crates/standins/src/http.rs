//! HTTP/1.1 server with control over the bytes and the end of each connection.
//!
//! Web frameworks send or abort a response as a whole, but the simulated faults need bodies shorter than their
//! `Content-Length` and connections closed without a response.

use std::io;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
/// Delay after a failed accept, which means that the process has no file descriptors left.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

pub(crate) struct Request {
    pub method: String,
    pub path: String,
    pub body: Bytes,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Parses the body as JSON and passes it to `f`. Responds with 200, or with 400 if the body is not valid.
    pub fn apply<T: DeserializeOwned>(&self, f: impl FnOnce(T)) -> Reply {
        match self.json() {
            Ok(value) => {
                f(value);
                Response::json(200, &serde_json::json!({})).into()
            }
            Err(error) => error.into(),
        }
    }

    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body).map_err(|e| Response::error(400, &e.to_string()))
    }
}

#[derive(Debug)]
pub(crate) struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Response {
    pub fn new(status: u16, body: Bytes) -> Self {
        Self { status, headers: Vec::new(), body }
    }

    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the maps in response types have string keys");
        Self::new(status, body.into()).header("Content-Type", "application/json")
    }

    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

pub(crate) enum Reply {
    Complete(Response),
    /// Sends the `Content-Length` of the whole body but only half of the body, then closes the connection.
    Truncated(Response),
    /// Closes the connection without a response.
    Close,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        Self::Complete(response)
    }
}

/// Handles requests. The returned future is dropped when the client closes its connection.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(&self, req: Request) -> impl Future<Output = Reply> + Send;
}

#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Number of concurrent connections; more wait in the listen backlog.
    pub connections: usize,
    /// Delay between accepting a connection and reading from it.
    pub accept_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { connections: 10_000, accept_delay: Duration::ZERO }
    }
}

/// Serves requests. Dropping the future closes the listener and every connection.
pub(crate) async fn serve(listener: StdListener, handler: Arc<impl Handler>, limits: Limits) {
    let listener = TcpListener::from_std(listener).expect("the worker runs a runtime with network I/O");
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept(), if connections.len() < limits.connections => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler), limits.accept_delay));
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<impl Handler>,
    accept_delay: Duration,
) -> io::Result<()> {
    if !accept_delay.is_zero() {
        sleep(accept_delay).await;
    }
    stream.set_nodelay(true)?;
    let mut conn = Connection { stream, buf: BytesMut::new() };
    loop {
        let req = match conn.read_request().await {
            Ok(Some(req)) => req,
            Ok(None) => return Ok(()),
            Err(e) => {
                let error = Response::error(400, &e.to_string());
                return conn.write(error, false, false).await;
            }
        };
        let is_head = req.method == "HEAD";
        let keep_alive = !req.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let reply = tokio::select! {
            reply = handler.handle(req) => reply,
            () = conn.wait_for_close() => return Ok(()),
        };
        match reply {
            Reply::Complete(response) => conn.write(response, is_head, false).await?,
            Reply::Truncated(response) => return conn.write(response, is_head, true).await,
            Reply::Close => return Ok(()),
        }
        if !keep_alive {
            return conn.stream.shutdown().await;
        }
    }
}

struct Connection {
    stream: TcpStream,
    buf: BytesMut,
}

impl Connection {
    async fn read_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some(req) = parse_request(&mut self.buf)? {
                return Ok(Some(req));
            }
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Returns when the client has closed the connection. Buffers the bytes of a pipelined request.
    async fn wait_for_close(&mut self) {
        while self.buf.len() < MAX_BODY_BYTES {
            match self.stream.read_buf(&mut self.buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    async fn write(&mut self, response: Response, is_head: bool, truncated: bool) -> io::Result<()> {
        // A truncated response declares at least one byte, so that an empty body is incomplete as well.
        let content_length = response.body.len().max(usize::from(truncated));
        let mut out = format!("HTTP/1.1 {} \r\nContent-Length: {content_length}\r\n", response.status);
        for (name, value) in &response.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let body = match (is_head, truncated) {
            (true, _) => &[],
            (false, true) => &response.body[..response.body.len() / 2],
            (false, false) => &response.body[..],
        };
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out).await
    }
}

fn invalid_data(message: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_string())
}

/// Removes one request from the start of the buffer. Returns `None` if the request is not complete yet.
fn parse_request(buf: &mut BytesMut) -> io::Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_len) = head.parse(buf).map_err(invalid_data)? else {
        let too_long = buf.len() > MAX_HEAD_BYTES;
        return if too_long { Err(invalid_data("the request head is too long")) } else { Ok(None) };
    };
    let (path, query) = head.path.unwrap_or("/").split_once('?').unwrap_or((head.path.unwrap_or("/"), ""));
    let mut req = Request {
        method: head.method.unwrap_or_default().into(),
        path: percent_decode_str(path).decode_utf8_lossy().into_owned(),
        query: form_urlencoded::parse(query.as_bytes()).into_owned().collect(),
        headers: Vec::with_capacity(head.headers.len()),
        body: Bytes::new(),
    };
    for h in head.headers.iter() {
        req.headers.push((h.name.into(), String::from_utf8_lossy(h.value).into_owned()));
    }
    if req.header("transfer-encoding").is_some() {
        return Err(invalid_data("a body needs a Content-Length here"));
    }
    let body_len: usize = req.header("content-length").unwrap_or("0").parse().map_err(invalid_data)?;
    if body_len > MAX_BODY_BYTES {
        return Err(invalid_data("the body is too long"));
    }
    if buf.len() < head_len + body_len {
        buf.reserve(head_len + body_len - buf.len());
        return Ok(None);
    }
    buf.advance(head_len);
    req.body = buf.split_to(body_len).freeze();
    Ok(Some(req))
}

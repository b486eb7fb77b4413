//! HTTP/1.1 server with control over the bytes and the end of each connection.
//!
//! Web frameworks complete or abort an answer as a whole; the faults here need bodies shorter than announced and
//! connections closed without an answer.

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
/// Pause after a failed accept, which means that no file descriptor is left.
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

    /// Passes the JSON body to `f` and answers 200, or 400 for a body of another form.
    pub fn apply<T: DeserializeOwned>(&self, f: impl FnOnce(T)) -> Answer {
        match self.json() {
            Ok(value) => {
                f(value);
                Response::json(200, &serde_json::json!({})).into()
            }
            Err(refusal) => refusal.into(),
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
        let body = serde_json::to_vec(value).expect("stand-in types have text keys");
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

pub(crate) enum Answer {
    Complete(Response),
    /// Announces the whole body, sends half of it and closes the connection.
    Truncated(Response),
    /// Closes the connection without an answer.
    Close,
}

impl From<Response> for Answer {
    fn from(response: Response) -> Self {
        Self::Complete(response)
    }
}

/// Answers requests. The future is dropped when the caller closes its connection.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(&self, req: Request) -> impl Future<Output = Answer> + Send;
}

#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Connections beyond this number wait in the listen queue.
    pub connections: usize,
    /// Time from accepting a connection to reading from it.
    pub connect: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { connections: 10_000, connect: Duration::ZERO }
    }
}

/// Serves until dropped, which closes the listener and every connection.
pub(crate) async fn serve(listener: StdListener, handler: Arc<impl Handler>, limits: Limits) {
    let listener = TcpListener::from_std(listener).expect("the worker runs a runtime with network I/O");
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept(), if connections.len() < limits.connections => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler), limits.connect));
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<impl Handler>,
    connect: Duration,
) -> io::Result<()> {
    if !connect.is_zero() {
        sleep(connect).await;
    }
    stream.set_nodelay(true)?;
    let mut conn = Connection { stream, buf: BytesMut::new() };
    loop {
        let req = match conn.read_request().await {
            Ok(Some(req)) => req,
            Ok(None) => return Ok(()),
            Err(e) => {
                let refusal = Response::error(400, &e.to_string());
                return conn.write(refusal, false, false).await;
            }
        };
        let is_head = req.method == "HEAD";
        let keep = !req.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let answer = tokio::select! {
            answer = handler.handle(req) => answer,
            () = conn.closed() => return Ok(()),
        };
        match answer {
            Answer::Complete(response) => conn.write(response, is_head, false).await?,
            Answer::Truncated(response) => return conn.write(response, is_head, true).await,
            Answer::Close => return Ok(()),
        }
        if !keep {
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
            if let Some(req) = parse(&mut self.buf)? {
                return Ok(Some(req));
            }
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Returns when the peer has closed its side. Bytes of a next request are kept.
    async fn closed(&mut self) {
        while self.buf.len() < MAX_BODY_BYTES {
            match self.stream.read_buf(&mut self.buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    async fn write(&mut self, response: Response, is_head: bool, truncated: bool) -> io::Result<()> {
        // At least one byte is announced, so that an empty body is cut short as well.
        let announced = response.body.len().max(usize::from(truncated));
        let mut out = format!("HTTP/1.1 {} \r\nContent-Length: {announced}\r\n", response.status);
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

fn invalid(message: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_string())
}

/// Takes one request from the front of the buffer; `None` if it is not complete yet.
fn parse(buf: &mut BytesMut) -> io::Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_len) = head.parse(buf).map_err(invalid)? else {
        let too_long = buf.len() > MAX_HEAD_BYTES;
        return if too_long { Err(invalid("the request head is too long")) } else { Ok(None) };
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
        return Err(invalid("a body needs a Content-Length here"));
    }
    let body_len: usize = req.header("content-length").unwrap_or("0").parse().map_err(invalid)?;
    if body_len > MAX_BODY_BYTES {
        return Err(invalid("the body is too long"));
    }
    if buf.len() < head_len + body_len {
        buf.reserve(head_len + body_len - buf.len());
        return Ok(None);
    }
    buf.advance(head_len);
    req.body = buf.split_to(body_len).freeze();
    Ok(Some(req))
}

//! Tests that incomplete, mismatched and late responses of backend servers are not forwarded as complete responses.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use medlarstair_transport::backend::{BackendClient, BackendRequest, CallOutcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Responses that the server sends on one connection, one for each request; `None` closes the connection.
type Script = Vec<Option<&'static str>>;

/// Starts a server that serves one connection for each script, in order.
async fn serve(scripts: Vec<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for script in scripts {
            let (mut stream, _) = listener.accept().await.unwrap();
            for response in script {
                let mut buf = [0; 4096];
                if stream.read(&mut buf).await.unwrap_or(0) == 0 {
                    break;
                }
                let Some(response) = response else {
                    break;
                };
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

async fn call(client: &BackendClient, address: SocketAddr, id: &str) -> CallOutcome {
    let request = BackendRequest {
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    client.call(address, id, &request, Duration::from_secs(2)).await
}

fn describe(end: &CallOutcome) -> String {
    match end {
        CallOutcome::Response(head, body) => {
            format!("response {} {}", head.status.as_u16(), String::from_utf8_lossy(body))
        }
        CallOutcome::Streaming(..) => "streaming".into(),
        CallOutcome::Shed => "shed".into(),
        CallOutcome::NotConnected => "not connected".into(),
        CallOutcome::Broken { head_received } => format!("broken, head received: {head_received}"),
        CallOutcome::TimedOut { head_received } => format!("timed out, head received: {head_received}"),
    }
}

struct Case {
    name: &'static str,
    response: Option<&'static str>,
    expected: &'static str,
}

const CASES: [Case; 9] = [
    Case {
        name: "complete",
        response: Some("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"),
        expected: "response 200 whole",
    },
    Case {
        name: "complete in chunks",
        response: Some("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
        expected: "response 200 whole",
    },
    Case {
        name: "shorter than announced",
        response: Some("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort"),
        expected: "broken, head received: true",
    },
    Case {
        name: "last chunk missing",
        response: Some("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"),
        expected: "broken, head received: true",
    },
    Case {
        name: "neither length nor chunked encoding",
        response: Some("HTTP/1.1 200 OK\r\n\r\nshort?"),
        expected: "broken, head received: true",
    },
    Case {
        name: "response to another request",
        response: Some("HTTP/1.1 200 OK\r\nmedlar-request-id: 8\r\ncontent-length: 5\r\n\r\nother"),
        expected: "broken, head received: true",
    },
    Case { name: "closed without a response", response: None, expected: "broken, head received: false" },
    Case {
        name: "not run",
        response: Some(
            "HTTP/1.1 503 Busy\r\nmedlar-request-id: 7\r\nmedlar-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
        ),
        expected: "shed",
    },
    Case {
        name: "not run, but not known to belong to the request",
        response: Some("HTTP/1.1 503 Busy\r\nmedlar-outcome: not-run\r\ncontent-length: 0\r\n\r\n"),
        expected: "broken, head received: true",
    },
];

/// Guards against a truncated response, or the response to another request, that is forwarded as the complete response,
/// and against a rejection of another request that makes a request run twice.
#[actix_rt::test]
async fn only_complete_matching_responses_are_forwarded() {
    for case in &CASES {
        let address = serve(vec![vec![case.response]]).await;
        let end = call(&BackendClient::new(None), address, "7").await;
        assert_eq!(describe(&end), case.expected, "{}", case.name);
    }
}

/// Guards against an unsolicited second response on a connection that is attributed to the next request.
#[actix_rt::test]
async fn unsolicited_response_is_not_attributed_to_the_next_request() {
    let twice =
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
    let next = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext";
    let address = serve(vec![vec![Some(twice), Some(next)], vec![Some(next)]]).await;
    let client = BackendClient::new(None);
    assert_eq!(describe(&call(&client, address, "1").await), "response 200 first");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(describe(&call(&client, address, "2").await), "response 200 next");
}

/// Guards against reuse of a connection whose previous request timed out: the late response would be attributed to the
/// new request.
#[actix_rt::test]
async fn connection_is_not_reused_after_a_timeout() {
    let next = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext";
    let address = serve(vec![vec![Some("HTTP/1.1 200 OK\r\n"), None], vec![Some(next)]]).await;
    let client = BackendClient::new(None);
    let request = BackendRequest {
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let first = client.call(address, "1", &request, Duration::from_millis(50)).await;
    assert_eq!(describe(&first), "timed out, head received: false");
    assert_eq!(describe(&call(&client, address, "2").await), "response 200 next");
}

/// Guards against a refused connection that is reported as an attempt in which data may have been sent.
#[actix_rt::test]
async fn refused_connection_is_reported_as_not_connected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(describe(&call(&BackendClient::new(None), address, "1").await), "not connected");
}

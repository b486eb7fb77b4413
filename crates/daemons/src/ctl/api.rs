//! HTTP client for the operator API of the daemons.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use awc::http::{Method, StatusCode, header};
use awc::{Client, Connector};
use futures_util::future::join_all;
use medlarstair::protocol::border::{FleetMemberValue, FleetValue, InForceReport, KvEntry, LookupAnswer};
use serde::de::DeserializeOwned;

use super::{CtlError, Exit};

/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a read. The daemon itself waits up to 2 s for the key-value service.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for a write. The daemon waits up to 2 s for the key-value service and as long again to read the key back if
/// the response is lost; for a drain it queries the backend servers before that.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// A response of a daemon.
#[derive(Debug)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// `Age` header in seconds; `None` if it is absent or not a number.
    pub age_s: Option<u64>,
    /// Response body, at most 256 MiB.
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// Returns the body as text without surrounding whitespace.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// If the status is not 200 or the body cannot be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        match self.status {
            StatusCode::OK => serde_json::from_slice(&self.body).map_err(|e| {
                let message =
                    format!("cannot parse the response ({e}); use the medlarctl of the daemon's release");
                CtlError::failed(message)
            }),
            StatusCode::UNAUTHORIZED => Err(CtlError::failed(
                "the daemon rejected the operator token; pass a valid one with --token-file",
            )),
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(CtlError::new(Exit::Unreachable, format!("{}; try again", self.text())))
            }
            status => Err(CtlError::failed(format!("{status}: {}", self.text()))),
        }
    }
}

/// A client for the daemons of a deployment.
pub struct ApiClient {
    client: Client,
    entry_addresses: Box<[SocketAddr]>,
    token: Option<Box<str>>,
}

impl ApiClient {
    /// Creates a client for the daemons at `entry_addresses`. Does not open any connection.
    ///
    /// # Errors
    ///
    /// If no address is given or the token file cannot be read.
    pub fn new(
        entry_addresses: &[SocketAddr],
        token_file: Option<&Path>,
        source: Option<IpAddr>,
    ) -> Result<Self, CtlError> {
        if entry_addresses.is_empty() {
            let message = "no daemon address given; pass --entry <address>:<port> before the command";
            return Err(CtlError::invalid(message));
        }
        let token = token_file.map(read_token).transpose()?;
        let mut connector = Connector::new().timeout(CONNECT_TIMEOUT);
        if let Some(source) = source {
            connector = connector.local_address(source);
        }
        let client = Client::builder().connector(connector).disable_redirects().finish();
        Ok(Self { client, entry_addresses: entry_addresses.into(), token })
    }

    /// Addresses given with `--entry`, in the order in which they are tried.
    pub fn entry_addresses(&self) -> &[SocketAddr] {
        &self.entry_addresses
    }

    /// Returns the HTTP client, for requests that do not carry the operator token.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Sends a request to one daemon. Returns `None` if there is no complete response within `timeout`.
    pub async fn request(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&str>,
        timeout: Duration,
    ) -> Option<ApiResponse> {
        let mut req = self.client.request(method, format!("http://{at}{path}")).timeout(timeout);
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        let response = match body {
            Some(body) => req.send_body(body.to_owned()).await,
            None => req.send().await,
        };
        let mut response = response.ok()?;
        let age = response.headers().get(header::AGE).and_then(|v| v.to_str().ok());
        let age_s = age.and_then(|text| text.parse().ok());
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?.to_vec();
        Some(ApiResponse { status: response.status(), age_s, body })
    }

    /// Sends a GET request to one daemon. Returns `None` if there is no complete response within [`READ_TIMEOUT`].
    pub async fn get(&self, at: SocketAddr, path: &str) -> Option<ApiResponse> {
        self.request(at, Method::GET, path, None, READ_TIMEOUT).await
    }

    /// Gets JSON from one daemon. Returns `None` if there is no such response within [`READ_TIMEOUT`].
    pub async fn get_json<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Option<T> {
        self.get(at, path).await?.json().ok()
    }

    /// Sends a GET request to the given daemons in order and returns the first response other than 503. If all
    /// responses are 503, returns the last of them.
    ///
    /// # Errors
    ///
    /// If no daemon responds.
    pub async fn get_from_any(&self, path: &str) -> Result<ApiResponse, CtlError> {
        let mut last = None;
        for at in &self.entry_addresses {
            match self.get(*at, path).await {
                Some(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => last = Some(response),
                Some(response) => return Ok(response),
                None => {}
            }
        }
        last.ok_or_else(|| self.unreachable_error())
    }

    /// Returns the error for the case that none of the given daemons responds.
    pub fn unreachable_error(&self) -> CtlError {
        let addresses = self.entry_addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ");
        let message =
            format!("no response from {addresses}; check the addresses or pass other daemons with --entry");
        CtlError::new(Exit::Unreachable, message)
    }

    /// Reads a configuration key from the key-value service through a daemon. `key` has no prefix. Returns `None` if
    /// the key does not exist.
    ///
    /// # Errors
    ///
    /// If no daemon responds or the key-value service does not.
    pub async fn config_entry(&self, key: &str) -> Result<Option<KvEntry>, CtlError> {
        let response = self.get_from_any(&format!("/ops/config/{key}")).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => response.json().map(Some),
        }
    }

    /// Returns the HTTP addresses of the daemons of the deployment by node number. They come from the fleet value that
    /// a daemon holds or, if it holds none (as may be while the key-value service is down), from a lookup. An address
    /// given with `--entry` takes precedence.
    ///
    /// # Errors
    ///
    /// If no daemon responds.
    pub async fn daemons(&self) -> Result<BTreeMap<u32, SocketAddr>, CtlError> {
        let mut daemons = match self.current_fleet().await? {
            Some(fleet) => http_addresses(fleet.members.iter().chain(&fleet.previous)),
            None => BTreeMap::new(),
        };
        if daemons.is_empty() {
            let response = self.get_from_any("/v1/lookup?customer=medlarctl&service=medlarctl").await?;
            for entry in response.json::<LookupAnswer>()?.entries {
                daemons.extend(entry.address.parse().map(|address| (entry.node, address)));
            }
        }
        let fetch = |at: &SocketAddr| self.get_json::<InForceReport>(*at, "/ops/in-force");
        let reports = join_all(self.entry_addresses.iter().map(fetch)).await;
        let given = reports.iter().zip(&self.entry_addresses);
        daemons.extend(given.filter_map(|(report, at)| Some((report.as_ref()?.node, *at))));
        Ok(daemons)
    }

    /// Returns the fleet value that the first responding daemon holds.
    async fn current_fleet(&self) -> Result<Option<FleetValue>, CtlError> {
        let response = self.get_from_any("/ops/held/fleet").await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let entry = response.json::<KvEntry>()?;
        Ok(entry.value.and_then(|value| serde_json::from_str(&value).ok()))
    }
}

fn http_addresses<'a>(members: impl Iterator<Item = &'a FleetMemberValue>) -> BTreeMap<u32, SocketAddr> {
    members.filter_map(|m| m.http_address.parse().ok().map(|address| (m.node, address))).collect()
}

fn read_token(path: &Path) -> Result<Box<str>, CtlError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| CtlError::invalid(format!("cannot read the token file {}: {e}", path.display())))?;
    Ok(text.trim().into())
}

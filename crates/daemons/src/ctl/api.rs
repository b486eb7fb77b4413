//! Calls to the daemons.

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

/// Time for a connection to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a read. The daemon itself waits 2 s for the key-value service.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for a write. The daemon waits 2 s for the key-value service and as long again to read a lost answer back; a
/// drain asks the backend servers before that.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Largest answer in bytes.
const ANSWER_MAX_BYTES: usize = 256 << 20;

/// An answer of a daemon.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Seconds of the `Age` header.
    pub age_s: Option<u64>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The body as text without surrounding space.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// If the status is not 200 or the body is not as expected.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        match self.status {
            StatusCode::OK => serde_json::from_slice(&self.body).map_err(|e| {
                let message = format!("the answer cannot be read ({e}); use the medlarctl of this release");
                CtlError::failed(message)
            }),
            StatusCode::UNAUTHORIZED => Err(CtlError::failed(
                "the daemon does not accept the operator token; give the right one with --token-file",
            )),
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(CtlError::new(Exit::Unreachable, format!("{}; try again", self.text())))
            }
            status => Err(CtlError::failed(format!("{status}: {}", self.text()))),
        }
    }
}

/// A connection to the daemons of a deployment.
pub struct Api {
    client: Client,
    entries: Box<[SocketAddr]>,
    token: Option<Box<str>>,
}

impl Api {
    /// Prepares calls to the daemons at `entries`. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// If no entry is given or the token file cannot be read.
    pub fn connect(
        entries: &[SocketAddr],
        token_file: Option<&Path>,
        source: Option<IpAddr>,
    ) -> Result<Self, CtlError> {
        if entries.is_empty() {
            let message = "no daemon to ask; name one with --entry <address>:<port> before the command";
            return Err(CtlError::invalid(message));
        }
        let token = token_file.map(read_token).transpose()?;
        let mut connector = Connector::new().timeout(CONNECT_TIMEOUT);
        if let Some(source) = source {
            connector = connector.local_address(source);
        }
        let client = Client::builder().connector(connector).disable_redirects().finish();
        Ok(Self { client, entries: entries.into(), token })
    }

    /// The daemons given by the operator.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// The HTTP client, for calls that are not of an operator.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Calls one daemon. `None` if it gave no whole answer in time.
    pub async fn ask(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&str>,
        limit: Duration,
    ) -> Option<Answer> {
        let mut req = self.client.request(method, format!("http://{at}{path}")).timeout(limit);
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        let sent = match body {
            Some(body) => req.send_body(body.to_owned()).await,
            None => req.send().await,
        };
        let mut res = sent.ok()?;
        let age = res.headers().get(header::AGE).and_then(|v| v.to_str().ok());
        let age_s = age.and_then(|text| text.parse().ok());
        let body = res.body().limit(ANSWER_MAX_BYTES).await.ok()?.to_vec();
        Some(Answer { status: res.status(), age_s, body })
    }

    /// Reads from one daemon. `None` if it gave no answer in time.
    pub async fn read(&self, at: SocketAddr, path: &str) -> Option<Answer> {
        self.ask(at, Method::GET, path, None, READ_TIMEOUT).await
    }

    /// Reads JSON from one daemon. `None` if it gave no such answer in time.
    pub async fn read_json<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Option<T> {
        self.read(at, path).await?.json().ok()
    }

    /// Reads from the first of the given daemons that answers. One that cannot answer now (503) counts as silent as
    /// long as another may answer.
    ///
    /// # Errors
    ///
    /// If none answers.
    pub async fn read_any(&self, path: &str) -> Result<Answer, CtlError> {
        let mut last = None;
        for at in &self.entries {
            match self.read(*at, path).await {
                Some(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => last = Some(answer),
                Some(answer) => return Ok(answer),
                None => {}
            }
        }
        last.ok_or_else(|| self.unreachable())
    }

    /// The error that none of the given daemons answers.
    pub fn unreachable(&self) -> CtlError {
        let entries = self.entries.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ");
        let message =
            format!("no answer from {entries}; check the addresses or name other daemons with --entry");
        CtlError::new(Exit::Unreachable, message)
    }

    /// Reads a configuration key from the key-value service, through a daemon.
    ///
    /// # Errors
    ///
    /// If no daemon answers, or the service does not.
    pub async fn get(&self, key: &str) -> Result<Option<KvEntry>, CtlError> {
        let answer = self.read_any(&format!("/ops/config/{key}")).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => answer.json().map(Some),
        }
    }

    /// The daemons of the deployment with the addresses to reach them at. They are those of the fleet; while the
    /// key-value service is down, those that a lookup names. An address given by the operator takes precedence.
    ///
    /// # Errors
    ///
    /// If no daemon answers.
    pub async fn daemons(&self) -> Result<BTreeMap<u32, SocketAddr>, CtlError> {
        let mut daemons = match self.held_fleet().await? {
            Some(fleet) => addresses(fleet.members.iter().chain(&fleet.previous)),
            None => BTreeMap::new(),
        };
        if daemons.is_empty() {
            let answer = self.read_any("/v1/lookup?customer=medlarctl&service=medlarctl").await?;
            for entry in answer.json::<LookupAnswer>()?.entries {
                daemons.extend(entry.address.parse().map(|address| (entry.node, address)));
            }
        }
        let ask = |at: &SocketAddr| self.read_json::<InForceReport>(*at, "/ops/in-force");
        let reports = join_all(self.entries.iter().map(ask)).await;
        let given = reports.iter().zip(&self.entries);
        daemons.extend(given.filter_map(|(report, at)| Some((report.as_ref()?.node, *at))));
        Ok(daemons)
    }

    /// The fleet as the first daemon that answers holds it.
    async fn held_fleet(&self) -> Result<Option<FleetValue>, CtlError> {
        let answer = self.read_any("/ops/held/fleet").await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let entry = answer.json::<KvEntry>()?;
        Ok(entry.value.and_then(|value| serde_json::from_str(&value).ok()))
    }
}

fn addresses<'a>(members: impl Iterator<Item = &'a FleetMemberValue>) -> BTreeMap<u32, SocketAddr> {
    members.filter_map(|m| m.http_address.parse().ok().map(|address| (m.node, address))).collect()
}

fn read_token(path: &Path) -> Result<Box<str>, CtlError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| CtlError::invalid(format!("cannot read the token file {}: {e}", path.display())))?;
    Ok(text.trim().into())
}

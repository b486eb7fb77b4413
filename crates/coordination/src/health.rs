//! Periodic polls of the backend servers' health and of the platform's VM list.

use std::collections::BTreeSet;
use std::time::Duration;

use actix::prelude::*;
use awc::Client;
use medlarstair_protocol::border::{VmKind, VmList, VmState};
use medlarstair_state::id::{Backend, NodeId};
use medlarstair_state::node::{Event, PlatformVms};
use medlarstair_state::routing::LoadReport;
use medlarstair_transport::backend::BackendClient;

use crate::engine::{Engine, GetPolledBackends, HandleEvent};
use crate::timer::{Subscribe, TimerFired, TimerService};

/// Interval between health polls. Together with the loan term it stays below the 2 s after which a leaving backend
/// server must receive no new requests.
pub const POLL_PERIOD: Duration = Duration::from_millis(300);

/// Number of health polls per poll of the VM list.
const HEALTH_POLLS_PER_VM_LIST_POLL: u32 = 3;

/// Timeout of a health request. A later report would be stale.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a request for the VM list.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP clients of a [`HealthPoller`].
#[derive(Clone)]
pub struct PollClients {
    /// Client for health requests to backend servers.
    pub backends: BackendClient,
    /// Client for requests to the VM list.
    pub platform: Client,
}

/// Actor that polls the backend servers and the VM list.
pub struct HealthPoller {
    engine: Addr<Engine>,
    timer: Addr<TimerService>,
    clients: PollClients,
    vm_list_url: Option<Box<str>>,
    poll_count: u32,
}

impl HealthPoller {
    /// Creates a poller that sends its results to `engine`. Without `vm_list_url`, only backend servers are polled.
    pub fn new(
        engine: Addr<Engine>,
        timer: Addr<TimerService>,
        clients: PollClients,
        vm_list_url: Option<Box<str>>,
    ) -> Self {
        Self { engine, timer, clients, vm_list_url, poll_count: 0 }
    }

    fn poll_backends(&self) {
        let (engine, client) = (self.engine.clone(), self.clients.backends.clone());
        actix_rt::spawn(async move {
            let Ok(polled) = engine.send(GetPolledBackends).await else {
                return;
            };
            for (backend, address) in polled {
                let (engine, client) = (engine.clone(), client.clone());
                actix_rt::spawn(async move {
                    // Without a response, the last report stays in use until it is stale.
                    let Some(health) = client.health(address, HEALTH_TIMEOUT).await else {
                        return;
                    };
                    let report = LoadReport {
                        boot: health.boot,
                        in_use: health.in_use,
                        slots: health.slots,
                        draining: health.draining,
                        age: Duration::ZERO,
                    };
                    engine.do_send(HandleEvent(Event::Report { backend, report }));
                });
            }
        });
    }

    fn poll_vm_list(&self) {
        let Some(url) = self.vm_list_url.clone() else {
            return;
        };
        let (engine, client) = (self.engine.clone(), self.clients.platform.clone());
        actix_rt::spawn(async move {
            if let Some(list) = fetch_vm_list(&client, &url).await {
                engine.do_send(HandleEvent(Event::Vms(platform_vms(&list))));
            }
        });
    }
}

async fn fetch_vm_list(client: &Client, url: &str) -> Option<VmList> {
    let mut res = client.get(url).timeout(VM_LIST_TIMEOUT).send().await.ok()?;
    res.json().await.ok()
}

fn platform_vms(list: &VmList) -> PlatformVms {
    let mut nodes = BTreeSet::<NodeId>::new();
    let mut leaving = BTreeSet::<Backend>::new();
    for vm in &list.vms {
        match vm.kind {
            VmKind::Entry => {
                nodes.extend(vm.name.strip_prefix('n').and_then(|node| node.parse::<NodeId>().ok()))
            }
            VmKind::Backend if vm.state == VmState::Leaving => {
                leaving.extend(vm.name.parse::<Backend>().ok())
            }
            VmKind::Backend => {}
        }
    }
    PlatformVms { nodes, leaving }
}

impl Actor for HealthPoller {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        self.timer.do_send(Subscribe { subscriber: cx.address().recipient(), period: POLL_PERIOD });
    }
}

impl Handler<TimerFired> for HealthPoller {
    type Result = ();

    fn handle(&mut self, _: TimerFired, _: &mut Self::Context) {
        self.poll_backends();
        if self.poll_count.is_multiple_of(HEALTH_POLLS_PER_VM_LIST_POLL) {
            self.poll_vm_list();
        }
        self.poll_count = self.poll_count.wrapping_add(1);
    }
}

//! Test of the path of a request through daemon processes.

mod common;

use common::{Cluster, Request};

const CUSTOMER_HEADERS: [(&str, &str); 2] = [("medlar-rank", "urgent"), ("medlar-repeatable", "yes")];

fn request<'a>(cluster: &'a Cluster, entry: u32, body: &'a str) -> Request<'a> {
    Request {
        entry,
        customer: &cluster.plan.customers[0],
        service: &cluster.plan.services[0].name,
        path: "/stock/4711",
        headers: CUSTOMER_HEADERS.map(|(name, value)| (name, value.to_owned())).to_vec(),
        body,
    }
}

/// Guards against a lookup, request or status report that fails although the deployment has no fault.
#[actix_rt::test]
async fn request_travels_from_lookup_to_backend_server_and_back() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    let req = request(&cluster, 1, "how many valves");
    let lookup = cluster.lookup(1, req.customer, req.service).await.expect("a lookup is answered");
    assert_eq!(lookup.entries.len(), 7);
    let reply = cluster.send(&req).await.expect("the request is answered");
    assert_eq!(String::from_utf8_lossy(&reply.body), "how many valves", "{reply:?}");
    let status = cluster.get_text(1, "/status").await.expect("the status is served");
    assert!(status.starts_with("medlarstair-status 1\n"), "{status}");
}

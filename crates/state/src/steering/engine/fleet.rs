//! The listed backend servers, grouped by service.
//!
//! Each request is compared with all servers of its service, so these are contiguous in memory, in the order of their
//! identities.

use std::collections::BTreeMap;

use crate::id::{Backend, Service};
use crate::steering::server::Server;

/// All listed backend servers.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    groups: BTreeMap<Service, Vec<Server>>,
    services: BTreeMap<Backend, Service>,
}

impl Fleet {
    /// The servers of a service, in the order of their identities.
    pub(super) fn servers_of(&self, service: &Service) -> &[Server] {
        self.groups.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of slots of all servers of a service.
    pub(super) fn slots_of(&self, service: &Service) -> f64 {
        self.servers_of(service).iter().map(|s| f64::from(s.entry.slots)).sum()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.groups.values().flatten()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.groups.values_mut().flatten()
    }

    pub(super) fn get(&self, id: &Backend) -> Option<&Server> {
        let group = self.groups.get(self.services.get(id)?)?;
        group.get(position(group, id).ok()?)
    }

    pub(super) fn get_mut(&mut self, id: &Backend) -> Option<&mut Server> {
        let group = self.groups.get_mut(self.services.get(id)?)?;
        let n = position(group, id).ok()?;
        group.get_mut(n)
    }

    /// Adds a server. Replaces a server with the same identity.
    pub(super) fn insert(&mut self, server: Server) {
        self.remove(&server.entry.id);
        self.services.insert(server.entry.id.clone(), server.entry.service.clone());
        let group = self.groups.entry(server.entry.service.clone()).or_default();
        match position(group, &server.entry.id) {
            Ok(n) => group[n] = server,
            Err(n) => group.insert(n, server),
        }
    }

    pub(super) fn remove(&mut self, id: &Backend) -> Option<Server> {
        let group = self.groups.get_mut(&self.services.remove(id)?)?;
        let n = position(group, id).ok()?;
        Some(group.remove(n))
    }
}

/// Index of a server in its group, or the index at which to insert it.
fn position(group: &[Server], id: &Backend) -> Result<usize, usize> {
    group.binary_search_by(|server| server.entry.id.cmp(id))
}

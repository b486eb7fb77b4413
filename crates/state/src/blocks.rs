//! Longest-prefix table from client blocks to regions.
//!
//! The table consists of parts, one per `blocks/<part>` key. A part is immutable once loaded and shared by reference
//! count, so that replacing one is atomic, a clone for the lookup snapshot copies no blocks, and a change rebuilds
//! only the part it touches.
//!
//! A part keeps no copy of its text: at 3.9 million blocks the texts need 99 MB and the tries 55 MB, and only the
//! tries fit into the 128 MB of control memory. [`BlockTable::part_text`] writes the text again for a peer that asks.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;
use std::sync::Arc;

use derive_more::{Display, Error};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::id::Region;

/// A line of a part is invalid. Nothing of the part has been loaded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("line {line}: {problem}")]
pub struct BlockError {
    line: usize,
    problem: Problem,
}

impl BlockError {
    /// Number of the line, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Display)]
enum Problem {
    #[display("expected 'prefix region'")]
    Form,
    #[display("invalid prefix {_0:?}")]
    Prefix(Box<str>),
    #[display("prefix {_0} has address bits beyond its length")]
    HostBits(IpNet),
    #[display("invalid region {_0:?}")]
    Region(Box<str>),
    #[display("prefix {_0} occurs twice")]
    Duplicate(IpNet),
    #[display("more than {} regions", u16::MAX)]
    TooManyRegions,
}

/// First and last address of a part.
#[derive(Debug, Clone, Copy)]
struct Span<A> {
    first: A,
    last: A,
}

impl<A: Copy + Ord> Span<A> {
    fn include(span: &mut Option<Self>, first: A, last: A) {
        let known = span.get_or_insert(Self { first, last });
        known.first = known.first.min(first);
        known.last = known.last.max(last);
    }
}

#[derive(Debug, Default)]
struct Part {
    v4: PrefixMap<Ipv4Net, u16>,
    v6: PrefixMap<Ipv6Net, u16>,
    v4_span: Option<Span<u32>>,
    v6_span: Option<Span<u128>>,
    /// Names of the regions; the tries hold positions in it, which take 2 bytes per block.
    regions: Vec<Region>,
}

impl Part {
    fn parse(text: &str) -> Result<Self, BlockError> {
        let mut part = Self::default();
        for (i, line) in text.lines().enumerate() {
            part.add_line(line).map_err(|problem| BlockError { line: i + 1, problem })?;
        }
        Ok(part)
    }

    fn add_line(&mut self, line: &str) -> Result<(), Problem> {
        let (prefix, region) = line.split_once(' ').ok_or(Problem::Form)?;
        let net: IpNet = prefix.parse().map_err(|_| Problem::Prefix(prefix.into()))?;
        if net.trunc() != net {
            return Err(Problem::HostBits(net));
        }
        let region = self.region_index(region)?;
        let old = match net {
            IpNet::V4(net) => {
                Span::include(&mut self.v4_span, net.network().into(), net.broadcast().into());
                self.v4.insert(net, region)
            }
            IpNet::V6(net) => {
                Span::include(&mut self.v6_span, net.network().into(), net.broadcast().into());
                self.v6.insert(net, region)
            }
        };
        if old.is_some() {
            return Err(Problem::Duplicate(net));
        }
        Ok(())
    }

    fn region_index(&mut self, name: &str) -> Result<u16, Problem> {
        let at = match self.regions.iter().position(|r| r.as_str() == name) {
            Some(at) => at,
            None => {
                self.regions.push(name.parse().map_err(|_| Problem::Region(name.into()))?);
                self.regions.len() - 1
            }
        };
        u16::try_from(at).map_err(|_| Problem::TooManyRegions)
    }

    fn lookup(&self, ip: IpAddr) -> Option<(u8, &Region)> {
        let (len, region) = match ip {
            IpAddr::V4(ip) => {
                let (net, &region) = self.v4.get_lpm(&Ipv4Net::from(ip))?;
                (net.prefix_len(), region)
            }
            IpAddr::V6(ip) => {
                let (net, &region) = self.v6.get_lpm(&Ipv6Net::from(ip))?;
                (net.prefix_len(), region)
            }
        };
        Some((len, &self.regions[usize::from(region)]))
    }

    fn text(&self) -> String {
        let mut text = String::new();
        let v4 = self.v4.iter().map(|(net, region)| (IpNet::from(net), *region));
        let v6 = self.v6.iter().map(|(net, region)| (IpNet::from(net), *region));
        for (net, region) in v4.chain(v6) {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{net} {}", self.regions[usize::from(region)]);
        }
        text
    }
}

/// Finds the parts that may contain an address without trying each of them.
///
/// Parts cut in address order have disjoint spans, and a lookup then touches one part. Parts that overlap stay
/// correct and cost one trie lookup each.
#[derive(Debug, Clone)]
struct Index<A> {
    /// Ordered by first address.
    spans: Vec<IndexEntry<A>>,
}

#[derive(Debug, Clone)]
struct IndexEntry<A> {
    span: Span<A>,
    /// Highest last address of this and all earlier entries: where the search may stop.
    reach: A,
    /// Position of the part's name among all names.
    rank: usize,
    part: Arc<Part>,
}

impl<A: Copy + Ord> Index<A> {
    /// `parts` in the order of their names, which decides between equal prefixes.
    fn new<'a>(parts: impl Iterator<Item = &'a Arc<Part>>, span: impl Fn(&Part) -> Option<Span<A>>) -> Self {
        let mut spans = Vec::new();
        for (rank, part) in parts.enumerate() {
            let Some(span) = span(part) else { continue };
            spans.push(IndexEntry { span, reach: span.last, rank, part: Arc::clone(part) });
        }
        spans.sort_by_key(|e| e.span.first);
        for i in 1..spans.len() {
            spans[i].reach = spans[i].reach.max(spans[i - 1].reach);
        }
        Self { spans }
    }

    fn covering(&self, at: A) -> impl Iterator<Item = &IndexEntry<A>> {
        let end = self.spans.partition_point(|e| e.span.first <= at);
        let near = self.spans[..end].iter().rev().take_while(move |e| e.reach >= at);
        near.filter(move |e| e.span.last >= at)
    }

    fn longest(&self, at: A, ip: IpAddr) -> Option<&Region> {
        let mut best: Option<(u8, usize, &Region)> = None;
        for entry in self.covering(at) {
            let Some((len, region)) = entry.part.lookup(ip) else { continue };
            let better = best.is_none_or(|(l, rank, _)| len > l || (len == l && entry.rank < rank));
            if better {
                best = Some((len, entry.rank, region));
            }
        }
        best.map(|(_, _, region)| region)
    }
}

impl<A> Default for Index<A> {
    fn default() -> Self {
        Self { spans: Vec::new() }
    }
}

/// Client blocks and their regions.
///
/// ```
/// use medlarstair_state::blocks::BlockTable;
/// let mut blocks = BlockTable::default();
/// blocks.load_part("gulf", "192.0.2.0/24 muscat\n192.0.2.128/25 sohar\n").unwrap();
/// assert_eq!(blocks.lookup("192.0.2.200".parse().unwrap()).unwrap().as_str(), "sohar");
/// assert_eq!(blocks.lookup("198.51.100.1".parse().unwrap()), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    parts: BTreeMap<Box<str>, Arc<Part>>,
    v4: Index<u32>,
    v6: Index<u128>,
}

impl BlockTable {
    /// Loads a part in place of the one of the same name and returns its number of blocks.
    ///
    /// `text` has one line `prefix region` per block.
    ///
    /// # Errors
    ///
    /// The first invalid line. The table is then unchanged.
    pub fn load_part(&mut self, name: &str, text: &str) -> Result<usize, BlockError> {
        let part = Part::parse(text)?;
        let count = part.v4.len() + part.v6.len();
        self.parts.insert(name.into(), Arc::new(part));
        self.index();
        Ok(count)
    }

    /// Removes a part; false if there was none of this name.
    pub fn remove_part(&mut self, name: &str) -> bool {
        let found = self.parts.remove(name).is_some();
        if found {
            self.index();
        }
        found
    }

    /// Region of the longest prefix that contains `ip`, over all parts.
    ///
    /// Of equal prefixes in several parts, the part whose name comes first in byte order decides, whatever the
    /// order of loading, so that all daemons with the same parts agree. An IPv4-mapped IPv6 address counts as IPv4.
    pub fn lookup(&self, ip: IpAddr) -> Option<&Region> {
        let ip = ip.to_canonical();
        match ip {
            IpAddr::V4(v4) => self.v4.longest(v4.into(), ip),
            IpAddr::V6(v6) => self.v6.longest(v6.into(), ip),
        }
    }

    /// The text of a part with its blocks in address order, IPv4 first.
    pub fn part_text(&self, name: &str) -> Option<String> {
        self.parts.get(name).map(|part| part.text())
    }

    /// Names of the loaded parts in byte order.
    pub fn part_names(&self) -> impl Iterator<Item = &str> {
        self.parts.keys().map(|name| &**name)
    }

    /// Number of blocks in all parts.
    pub fn len(&self) -> usize {
        self.parts.values().map(|part| part.v4.len() + part.v6.len()).sum()
    }

    /// Whether no part holds a block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn index(&mut self) {
        self.v4 = Index::new(self.parts.values(), |part| part.v4_span);
        self.v6 = Index::new(self.parts.values(), |part| part.v6_span);
    }
}

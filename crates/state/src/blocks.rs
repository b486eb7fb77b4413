//! Longest-prefix-match table from client CIDR blocks to regions.
//!
//! The table consists of parts, one per `blocks/<part>` key. A loaded part is immutable and reference-counted.
//! Replacing a part is therefore atomic, cloning the table for the lookup snapshot copies no blocks, and a change
//! rebuilds only the affected part.
//!
//! A part does not keep its source text: at 3.9 million blocks the texts take 99 MB and the tries 55 MB, and only
//! the tries fit into the 128 MB of control memory. [`BlockTable::part_text`] generates the text from the trie when a
//! peer requests it.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;
use std::sync::Arc;

use derive_more::{Display, Error};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::id::Region;

/// Parse error in a part. The part has not been loaded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("line {line}: {problem}")]
pub struct BlockError {
    line: usize,
    problem: Problem,
}

impl BlockError {
    /// Number of the invalid line, starting at 1.
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

/// Range from the first to the last address of a part, both included.
#[derive(Debug, Clone, Copy)]
struct AddressRange<A> {
    first: A,
    last: A,
}

impl<A: Copy + Ord> AddressRange<A> {
    fn extend(range: &mut Option<Self>, first: A, last: A) {
        let range = range.get_or_insert(Self { first, last });
        range.first = range.first.min(first);
        range.last = range.last.max(last);
    }
}

#[derive(Debug, Default)]
struct Part {
    v4: PrefixMap<Ipv4Net, u16>,
    v6: PrefixMap<Ipv6Net, u16>,
    v4_range: Option<AddressRange<u32>>,
    v6_range: Option<AddressRange<u128>>,
    /// Regions of the part. The tries store 2-byte indices into this list instead of names.
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
                AddressRange::extend(&mut self.v4_range, net.network().into(), net.broadcast().into());
                self.v4.insert(net, region)
            }
            IpNet::V6(net) => {
                AddressRange::extend(&mut self.v6_range, net.network().into(), net.broadcast().into());
                self.v6.insert(net, region)
            }
        };
        if old.is_some() {
            return Err(Problem::Duplicate(net));
        }
        Ok(())
    }

    fn region_index(&mut self, name: &str) -> Result<u16, Problem> {
        let index = match self.regions.iter().position(|r| r.as_str() == name) {
            Some(index) => index,
            None => {
                self.regions.push(name.parse().map_err(|_| Problem::Region(name.into()))?);
                self.regions.len() - 1
            }
        };
        u16::try_from(index).map_err(|_| Problem::TooManyRegions)
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
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "{net} {}", self.regions[usize::from(region)]);
        }
        text
    }
}

/// Index by address range, which limits a lookup to the parts that may contain the address.
///
/// If the table is split into parts in address order, their ranges are disjoint and a lookup searches one trie.
/// Parts with overlapping ranges also give correct results, at the cost of one trie lookup for each of them.
#[derive(Debug, Clone)]
struct Index<A> {
    /// Sorted by first address.
    entries: Vec<IndexEntry<A>>,
}

#[derive(Debug, Clone)]
struct IndexEntry<A> {
    range: AddressRange<A>,
    /// Highest last address of this and all earlier entries. A backwards search stops where it is below the address.
    max_last: A,
    /// Position of the part in the order of names; the lower one wins between equal prefixes.
    name_order: usize,
    part: Arc<Part>,
}

impl<A: Copy + Ord> Index<A> {
    /// Builds the index. `parts` must be sorted by name, because the order decides between equal prefixes.
    fn new<'a>(
        parts: impl Iterator<Item = &'a Arc<Part>>,
        range: impl Fn(&Part) -> Option<AddressRange<A>>,
    ) -> Self {
        let mut entries = Vec::new();
        for (name_order, part) in parts.enumerate() {
            let Some(range) = range(part) else { continue };
            entries.push(IndexEntry { range, max_last: range.last, name_order, part: Arc::clone(part) });
        }
        entries.sort_by_key(|e| e.range.first);
        for i in 1..entries.len() {
            entries[i].max_last = entries[i].max_last.max(entries[i - 1].max_last);
        }
        Self { entries }
    }

    /// Entries whose range contains `address`.
    fn covering(&self, address: A) -> impl Iterator<Item = &IndexEntry<A>> {
        let end = self.entries.partition_point(|e| e.range.first <= address);
        let candidates = self.entries[..end].iter().rev().take_while(move |e| e.max_last >= address);
        candidates.filter(move |e| e.range.last >= address)
    }

    /// Region of the longest matching prefix. `address` is the numeric value of `ip`.
    fn longest_match(&self, address: A, ip: IpAddr) -> Option<&Region> {
        let mut best: Option<(u8, usize, &Region)> = None;
        for entry in self.covering(address) {
            let Some((len, region)) = entry.part.lookup(ip) else { continue };
            let better = best.is_none_or(|(best_len, name_order, _)| {
                len > best_len || (len == best_len && entry.name_order < name_order)
            });
            if better {
                best = Some((len, entry.name_order, region));
            }
        }
        best.map(|(_, _, region)| region)
    }
}

impl<A> Default for Index<A> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

/// Lookup table from client addresses to regions.
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
    /// Loads a part, replacing the one of the same name if there is one, and returns the number of its blocks.
    ///
    /// `text` has one line of the form `prefix region` per block.
    ///
    /// # Errors
    ///
    /// Reports the first invalid line; the table is then unchanged.
    pub fn load_part(&mut self, name: &str, text: &str) -> Result<usize, BlockError> {
        let part = Part::parse(text)?;
        let count = part.v4.len() + part.v6.len();
        self.parts.insert(name.into(), Arc::new(part));
        self.rebuild_index();
        Ok(count)
    }

    /// Removes a part. Returns whether it existed.
    pub fn remove_part(&mut self, name: &str) -> bool {
        let found = self.parts.remove(name).is_some();
        if found {
            self.rebuild_index();
        }
        found
    }

    /// Returns the region of the longest prefix in any part that contains `ip`; `None` if there is no match.
    ///
    /// If several parts contain the same prefix, the part whose name is first in byte order wins. The result does not
    /// depend on the order of loading, so all daemons with the same parts agree. An IPv4-mapped IPv6 address is looked
    /// up as IPv4.
    pub fn lookup(&self, ip: IpAddr) -> Option<&Region> {
        let ip = ip.to_canonical();
        match ip {
            IpAddr::V4(v4) => self.v4.longest_match(v4.into(), ip),
            IpAddr::V6(v6) => self.v6.longest_match(v6.into(), ip),
        }
    }

    /// Generates the text of a part, with the blocks in address order and IPv4 first. `None` for an unknown part.
    pub fn part_text(&self, name: &str) -> Option<String> {
        self.parts.get(name).map(|part| part.text())
    }

    /// Names of the loaded parts in byte order.
    pub fn part_names(&self) -> impl Iterator<Item = &str> {
        self.parts.keys().map(|name| &**name)
    }

    /// Total number of blocks. A prefix that occurs in several parts is counted once for each.
    pub fn len(&self) -> usize {
        self.parts.values().map(|part| part.v4.len() + part.v6.len()).sum()
    }

    /// Whether the table contains no blocks. It may still have empty parts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn rebuild_index(&mut self) {
        self.v4 = Index::new(self.parts.values(), |part| part.v4_range);
        self.v6 = Index::new(self.parts.values(), |part| part.v6_range);
    }
}

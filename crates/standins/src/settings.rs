//! Settings files for the entry daemons of a deployment.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::deployment::{Deployment, EntryPlan};

/// Name of the file with the key that seals messages between daemons.
pub const KEY_FILE: &str = "peer.key";
/// Name of the file with the operator token.
pub const TOKEN_FILE: &str = "operator.token";

/// Writes a settings file for each daemon, named after the entry VM, and a random peer key and operator token.
///
/// # Errors
///
/// Fails if a file cannot be written.
pub fn write(deployment: &Deployment, dir: &Path) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join(KEY_FILE), random_hex(32)?)?;
    std::fs::write(dir.join(TOKEN_FILE), random_hex(16)?)?;
    for entry in &deployment.entries {
        std::fs::write(dir.join(format!("{}.ini", entry.name)), render(deployment, entry))?;
    }
    Ok(())
}

fn random_hex(len: usize) -> io::Result<String> {
    let mut buf = vec![0; len];
    File::open("/dev/urandom")?.read_exact(&mut buf)?;
    Ok(buf.iter().map(|b| format!("{b:02x}")).collect())
}

/// Renders the settings file of one daemon. It lists two other daemons as seeds, so that the daemon gets its
/// configuration when the key-value service is down. The deployment must have at least two daemons.
pub fn render(deployment: &Deployment, entry: &EntryPlan) -> String {
    let others = deployment.entries.iter().filter(|other| other.node != entry.node);
    let mut seeds = others.map(|o| format!("n{}@{}", o.node, o.peer.front)).collect::<Vec<_>>();
    let first = entry.node as usize % seeds.len();
    seeds.rotate_left(first);
    seeds.truncate(2);
    format!(
        "[node]\nid = {}\nregion = {}\ndomain = {}\n\n\
         [listen]\nhttp = {}\npeer = {}\nsource = {}\nhttp_workers = 2\n\n\
         [platform]\nstore = http://{}\nvms = http://{}/vms\n\n\
         [peers]\nseeds = {}\n\n\
         [security]\nkey_file = {KEY_FILE}\noperator_token_file = {TOKEN_FILE}\n\n\
         [log]\nlevel = info\n",
        entry.node,
        entry.place.region,
        entry.place.name,
        entry.http.real,
        entry.peer.real,
        entry.outgoing,
        deployment.kv.front,
        deployment.vms.front,
        seeds.join(", "),
    )
}

//! Settings files of the entry daemons of a deployment.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::deployment::{Deployment, EntryPlan};

/// Name of the file with the key of messages between daemons.
pub const KEY_FILE: &str = "peer.key";
/// Name of the file with the operator token.
pub const TOKEN_FILE: &str = "operator.token";

/// Writes `n<node>.ini` for each daemon, a new peer key and a new operator token.
pub fn write(deployment: &Deployment, dir: &Path) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join(KEY_FILE), random_hex(32)?)?;
    std::fs::write(dir.join(TOKEN_FILE), random_hex(16)?)?;
    for entry in &deployment.entries {
        std::fs::write(dir.join(format!("{}.ini", entry.name)), render(deployment, entry))?;
    }
    Ok(())
}

fn random_hex(bytes: usize) -> io::Result<String> {
    let mut buf = vec![0; bytes];
    File::open("/dev/urandom")?.read_exact(&mut buf)?;
    Ok(buf.iter().map(|b| format!("{b:02x}")).collect())
}

/// The settings of one daemon. It knows two other daemons, so that it finds its configuration when the key-value service
/// is down.
pub fn render(deployment: &Deployment, entry: &EntryPlan) -> String {
    let others = deployment.entries.iter().filter(|other| other.node != entry.node);
    let mut seeds = others.map(|o| format!("n{}@{}", o.node, o.peer.front)).collect::<Vec<_>>();
    let nearest = entry.node as usize % seeds.len();
    seeds.rotate_left(nearest);
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

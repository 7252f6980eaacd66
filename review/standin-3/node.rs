//! Nodes: the program of the deploy file, started as a process.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::Duration;

use crate::http::{call, wait_for};
use crate::store::{Store, StoreLink};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// The way to the guard, which ends the nodes if this process is killed.
static GUARD: OnceLock<Mutex<ChildStdin>> = OnceLock::new();

/// Starts the guard: this program again, which reads the ids of processes.
pub fn start_guard() -> io::Result<()> {
    let mut guard = Command::new(std::env::current_exe()?)
        .arg("guard")
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()?;
    if let Some(stdin) = guard.stdin.take() {
        let _ = GUARD.set(Mutex::new(stdin));
    }
    Ok(())
}

/// Reads ids of started (`+`) and ended (`-`) processes until the parent has ended, and then ends the
/// rest.
pub fn guard() {
    let mut running = BTreeSet::new();
    for line in io::stdin().lines().map_while(Result::ok) {
        match line.split_at_checked(1) {
            Some(("+", id)) => running.insert(id.to_owned()),
            Some(("-", id)) => running.remove(id),
            _ => false,
        };
    }
    for id in running {
        let _ = Command::new("kill").args(["-KILL", &id]).status();
    }
}

fn tell_guard(sign: char, id: u32) {
    if let Some(guard) = GUARD.get() {
        let mut guard = guard.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(guard, "{sign}{id}");
    }
}

pub struct Node {
    pub name: String,
    ip: Ipv4Addr,
    folder: PathBuf,
    pub store: StoreLink,
    child: Option<Child>,
}

impl Node {
    /// Describes a node with a loopback address of its own.
    pub fn new(name: &str, number: u8, folder: &Path, store: &Arc<Store>) -> io::Result<Self> {
        let id = std::process::id();
        let (high, low) = ((id >> 8) as u8, id as u8);
        Ok(Self {
            name: name.to_owned(),
            ip: Ipv4Addr::new(127, 100 + high % 100, low, 10 + number),
            folder: folder.to_owned(),
            store: store.link()?,
            child: None,
        })
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 18_227))
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 18_220))
    }

    /// Starts the program with the arguments of the deploy file.
    pub fn start(&mut self, is_first: bool) -> io::Result<()> {
        let (name, ip) = (&self.name, self.ip);
        let (callers, ready, store) = (self.callers(), self.ready(), self.store.server.address);
        let settings = self.folder.join(format!("{name}.toml"));
        let text = format!(
            r#"node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "tbs-a"
region = "tbilisi"
port_range = [18340,18355]
seeds = []
bootstrap = {is_first}
fault_counted = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","gangs"]
[zones]
tbs-a = "tbilisi"
[listen]
front = "{callers}"
ready = "{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_deadline_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 103
cold_over = 1.5
cold_slack = 5
evac_ms = 5000
recover_s = 12
pass_ms = 120
again_s = 0
stall_ms = 5000
require_fence = false
ceiling_window_s = 5
ceiling_over = 1.1
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
"#
        );
        fs::write(&settings, text)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/tanagerhub-platform")
            .args(["--metrics", "9464"])
            .env_clear()
            .env("TANAGERHUB_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        tell_guard('+', child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the platform would send callers to the node.
    pub fn wait_ready(&self) -> bool {
        let is_ready = || {
            let head = "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n";
            let response = call(self.ready(), head, b"", Duration::from_millis(500));
            response.is_ok_and(|it| it.status() == 200)
        };
        wait_for(Duration::from_secs(15), is_ready)
    }

    /// Returns the node's state dump.
    pub fn state(&self) -> String {
        let head = "GET /state HTTP/1.1\r\nHost: node\r\nConnection: close\r\n";
        let address = SocketAddr::from((self.ip, 9_464));
        let response = call(address, head, b"", Duration::from_millis(500));
        response.map_or_else(
            |_| String::new(),
            |it| String::from_utf8_lossy(&it.body).into_owned(),
        )
    }

    pub fn plans(&self) -> bool {
        self.state().replace(' ', "").contains("\"plans\":true")
    }

    /// Returns the log of the process.
    pub fn log(&self) -> String {
        let path = self.folder.join(format!("{}.log", self.name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &id])
                .status();
        }
    }

    /// Waits until the process has ended after a signal.
    pub fn wait_end(&mut self, timeout: Duration) -> bool {
        wait_for(timeout, || self.has_ended())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            tell_guard('-', child.id());
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

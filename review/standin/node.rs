//! The project's program as a process, with the command of the deploy file.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, send};

/// Figures of the site file `kfs-tanager`, as DEPLOY.md prints them.
const BOUNDS: &str = "seed_lag_s = 3
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
";

pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn new(folder: &Path, program: &Path, index: u8, zone: &str, store: SocketAddr) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 10 + high % 100, low, 10 + index);
        let name = format!("front-{zone}-{index}");
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "node_name = \"{name}\"
role = \"gateway\"
machine_class = \"front\"
serves = [\"front\"]
ip = \"{ip}\"
zone = \"{zone}\"
region = \"tbilisi\"
port_range = [7340,7355]
seeds = []
bootstrap = true
fault_counted = false
discovery = \"platform\"
entry = \"vip\"
heartbeat_ms = 1200
contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\",\"gangs\"]
[zones]
tbs-a = \"tbilisi\"
tbs-b = \"tbilisi\"
tbs-c = \"tbilisi\"
[listen]
front = \"{ip}:8227\"
ready = \"{ip}:8220\"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
{BOUNDS}[platform]
address = \"{store}\"
form = \"table\"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"
        );
        fs::write(&settings, text).expect("a settings file");
        Self {
            log: folder.join(format!("{name}.log")),
            program: program.to_owned(),
            name,
            ip,
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(&self.program);
        // SAFETY: the call between fork and exec is async-signal-safe.
        unsafe {
            command.pre_exec(end_with_parent);
        }
        let child = command
            .args(["--metrics", "9464"])
            .env("TANAGERHUB_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8227))
    }

    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".into(),
            target: "/ready".into(),
            ..Request::default()
        };
        let address = SocketAddr::from((self.ip, 8220));
        send(address, &request, Duration::from_millis(500)).is_ok_and(|it| it.status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Has the system kill this process when the one that started it ends.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    // SAFETY: this option takes one number and no pointer.
    if unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } == 0 {
        return Ok(());
    }
    Err(io::Error::last_os_error())
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

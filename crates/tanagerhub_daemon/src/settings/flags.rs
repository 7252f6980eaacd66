//! The daemon's command line.

use bpaf::Bpaf;

/// The footer of `--help`.
const FOOTER: &str = "Every flag can also be set by an environment variable: TANAGERHUB_ and its \
    name in capitals, such as TANAGERHUB_DATA_CENTRE for --data-centre. A flag takes precedence \
    over its variable. Secrets are better set by variables, since other users see a process's \
    flags.";

/// Serves models that span several VMs
#[derive(Clone, Default, Bpaf)]
#[bpaf(options("tanagerhubd"), version, footer(FOOTER))]
pub struct Flags {
    /// The address that callers connect to
    #[bpaf(argument("IP:PORT"))]
    pub callers: Option<String>,
    /// The address that operators and the platform's load balancer connect to
    #[bpaf(argument("IP:PORT"))]
    pub operators: Option<String>,
    /// The address that peers send to; also identifies the node
    #[bpaf(argument("IP:PORT"))]
    pub peers: Option<String>,
    /// Peers to contact first
    #[bpaf(argument("IP:PORT,..."))]
    pub seeds: Option<String>,
    /// The node's region
    #[bpaf(argument("NAME"))]
    pub region: Option<String>,
    /// The node's data centre
    #[bpaf(argument("NAME"))]
    pub data_centre: Option<String>,
    /// The key that all nodes share, at least 16 bytes
    #[bpaf(argument("SECRET"))]
    pub peer_key: Option<String>,
    /// The token that operators send, at least 16 bytes
    #[bpaf(argument("SECRET"))]
    pub operator_token: Option<String>,
    /// The platform's HTTP address
    #[bpaf(argument("IP:PORT"))]
    pub platform: Option<String>,
    /// A StatsD server for metrics; off when unset
    #[bpaf(argument("IP:PORT"))]
    pub statsd: Option<String>,
    /// How long a stopping node still accepts requests, 5000 when unset
    #[bpaf(argument("MS"))]
    pub drain_grace_ms: Option<String>,
    /// How long a stopping node waits for requests in flight, 60000 when unset
    #[bpaf(argument("MS"))]
    pub drain_limit_ms: Option<String>,
    /// Threads that serve requests, 4 when unset
    #[bpaf(argument("COUNT"))]
    pub threads: Option<String>,
    /// The most connections that callers may have open, 4096 when unset
    #[bpaf(argument("COUNT"))]
    pub connections: Option<String>,
    /// The largest request body, 4194304 when unset
    #[bpaf(argument("BYTES"))]
    pub body_limit: Option<String>,
    /// The seed of random choices, drawn when unset
    #[bpaf(argument("NUMBER"))]
    pub random_seed: Option<String>,
    /// The log filter.
    #[bpaf(
        argument("FILTER"),
        help("What to log, as env_logger reads it; info when unset")
    )]
    pub log: Option<String>,
}

impl std::fmt::Debug for Flags {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Flags(..)")
    }
}

//! The daemon's settings, read from flags and environment variables and checked.

mod flags;
mod setting_problem;
mod settings_reader;

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub::{Addresses, NodeSettings, PeerKey};
use tanagerhub_wire::operators::OperatorToken;

pub use flags::{Flags, flags};
pub use setting_problem::{InvalidSettings, SettingProblem};

use crate::settings::settings_reader::SettingsReader;

/// The shortest operators' token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;
/// The default number of threads that serve requests.
const DEFAULT_THREADS: usize = 4;
/// The longest duration of a setting, in milliseconds (one hour).
const MAX_MILLIS: u64 = 3_600_000;

/// The daemon's checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The settings of the node.
    pub node: NodeSettings,
    /// The platform's HTTP address.
    pub platform: SocketAddr,
    /// The address of the StatsD server; `None` disables metrics.
    pub statsd: Option<SocketAddr>,
    /// The number of threads that serve requests.
    pub threads: usize,
    /// The log filter, in the syntax of `env_logger`.
    pub log: String,
}

impl Settings {
    /// Reads and checks all settings; a flag takes precedence over its environment variable.
    ///
    /// # Errors
    ///
    /// Returns every invalid setting with its value and the allowed values.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_daemon::settings::{Flags, Settings};
    ///
    /// let flags = Flags { callers: Some("localhost:80".to_owned()), ..Flags::default() };
    /// let invalid = Settings::read(flags, |_| None).unwrap_err();
    /// assert!(invalid.to_string().contains("--callers is \"localhost:80\""));
    /// ```
    pub fn read(
        flags: Flags,
        variables: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, InvalidSettings> {
        let mut reader = SettingsReader::new(&variables);
        let node = read_node(&mut reader, &flags);
        let platform = reader.required("platform", flags.platform, parse_reachable_address);
        let statsd = reader.optional("statsd", flags.statsd, parse_reachable_address);
        let threads = reader.optional("threads", flags.threads, parse_threads);
        let log = reader.optional("log", flags.log, |text| Some(text.to_owned()));
        let problems = reader.into_problems();
        match (node, platform, problems.is_empty()) {
            (Some(node), Some(platform), true) => Ok(Self {
                node,
                platform,
                statsd,
                threads: threads.unwrap_or(DEFAULT_THREADS),
                log: log.unwrap_or_else(|| "info".to_owned()),
            }),
            _ => Err(InvalidSettings { problems }),
        }
    }
}

fn read_node(reader: &mut SettingsReader<'_>, flags: &Flags) -> Option<NodeSettings> {
    let callers = reader.required("callers", flags.callers.clone(), parse_listen_address);
    let operators = reader.required("operators", flags.operators.clone(), parse_listen_address);
    let peers = reader.required("peers", flags.peers.clone(), parse_reachable_address);
    let seeds = reader.optional("seeds", flags.seeds.clone(), parse_seeds);
    let region = reader.required("region", flags.region.clone(), parse_name);
    let data_centre = reader.required("data-centre", flags.data_centre.clone(), parse_name);
    let peer_key = reader.secret("peer-key", flags.peer_key.clone(), parse_peer_key);
    let token = reader.secret("operator-token", flags.operator_token.clone(), parse_token);
    let drain_grace = reader.optional("drain-grace-ms", flags.drain_grace_ms.clone(), parse_millis);
    let drain_timeout =
        reader.optional("drain-limit-ms", flags.drain_limit_ms.clone(), parse_millis);
    let connections = reader.optional("connections", flags.connections.clone(), parse_connections);
    let body_limit = reader.optional("body-limit", flags.body_limit.clone(), parse_body_limit);
    let seed = reader.optional("random-seed", flags.random_seed.clone(), |text| {
        text.parse().ok()
    });
    let addresses = Addresses {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    };
    let mut node = NodeSettings::new(addresses, peer_key?, token?)
        .location(region?, data_centre?)
        .seeds(seeds.unwrap_or_default());
    node.drain_grace = drain_grace.unwrap_or(node.drain_grace);
    node.drain_timeout = drain_timeout.unwrap_or(node.drain_timeout);
    node.max_connections = connections.unwrap_or(node.max_connections);
    node.body_limit = body_limit.unwrap_or(node.body_limit);
    node.seed = seed;
    Some(node)
}

/// Parses an address to listen on; the IP address may be unspecified, the port not 0.
fn parse_listen_address(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
}

/// Parses an address that other hosts can reach.
fn parse_reachable_address(text: &str) -> Option<SocketAddr> {
    parse_listen_address(text).filter(|address| !address.ip().is_unspecified())
}

fn parse_seeds(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(parse_reachable_address)
        .collect()
}

fn parse_peer_key(text: &str) -> Option<PeerKey> {
    text.parse().ok()
}

fn parse_token(text: &str) -> Option<OperatorToken> {
    (text.len() >= MIN_TOKEN_BYTES).then(|| OperatorToken::new(text))
}

fn parse_name(text: &str) -> Option<String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let length_fits = (1..=64).contains(&text.len());
    (length_fits && text.bytes().all(is_allowed)).then(|| text.to_owned())
}

fn parse_millis(text: &str) -> Option<Duration> {
    let millis: u64 = text.parse().ok()?;
    (millis <= MAX_MILLIS).then(|| Duration::from_millis(millis))
}

fn parse_threads(text: &str) -> Option<usize> {
    text.parse().ok().filter(|count| (1..=64).contains(count))
}

fn parse_connections(text: &str) -> Option<usize> {
    text.parse()
        .ok()
        .filter(|count| (1..=100_000).contains(count))
}

fn parse_body_limit(text: &str) -> Option<usize> {
    text.parse()
        .ok()
        .filter(|bytes| (1_024..=(64 << 20)).contains(bytes))
}

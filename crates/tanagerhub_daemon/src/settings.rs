//! The daemon's settings: flags, environment variables and their checks.

mod flags;
mod setting_problem;
mod settings_reader;

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub::{Addresses, NodeSettings, PeerKey};
use tanagerhub_wire::operators::OperatorToken;

pub use flags::{Flags, flags};
pub use setting_problem::{SettingProblem, SettingsRefused};

use crate::settings::settings_reader::SettingsReader;

/// Fewest bytes of the operators' token.
const TOKEN_MIN: usize = 16;
/// Threads that carry traffic when nothing else is said.
const THREADS: usize = 4;
/// The longest time that a setting can name, in milliseconds (an hour).
const MAX_MILLIS: u64 = 3_600_000;

/// The daemon's settings, all checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the node is told.
    pub node: NodeSettings,
    /// The platform's HTTP address.
    pub platform: SocketAddr,
    /// Where metrics go; `None` turns them off.
    pub statsd: Option<SocketAddr>,
    /// Threads that carry traffic.
    pub threads: usize,
    /// The filter of the log, as `env_logger` reads it.
    pub log: String,
}

impl Settings {
    /// Reads and checks all settings; a flag goes before its environment variable.
    ///
    /// # Errors
    ///
    /// Names every setting that can't be used, its value and what is allowed.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_daemon::settings::{Flags, Settings};
    ///
    /// let flags = Flags { callers: Some("localhost:80".to_owned()), ..Flags::default() };
    /// let refused = Settings::read(flags, |_| None).unwrap_err();
    /// assert!(refused.to_string().contains("--callers is \"localhost:80\""));
    /// ```
    pub fn read(
        flags: Flags,
        variables: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsRefused> {
        let mut reader = SettingsReader::new(&variables);
        let node = read_node(&mut reader, &flags);
        let platform = reader.required("platform", flags.platform, parse_peer);
        let statsd = reader.optional("statsd", flags.statsd, parse_peer);
        let threads = reader.optional("threads", flags.threads, parse_threads);
        let log = reader.optional("log", flags.log, |text| Some(text.to_owned()));
        let problems = reader.finish();
        match (node, platform, problems.is_empty()) {
            (Some(node), Some(platform), true) => Ok(Self {
                node,
                platform,
                statsd,
                threads: threads.unwrap_or(THREADS),
                log: log.unwrap_or_else(|| "info".to_owned()),
            }),
            _ => Err(SettingsRefused { problems }),
        }
    }
}

fn read_node(reader: &mut SettingsReader<'_>, flags: &Flags) -> Option<NodeSettings> {
    let callers = reader.required("callers", flags.callers.clone(), parse_listen);
    let operators = reader.required("operators", flags.operators.clone(), parse_listen);
    let peers = reader.required("peers", flags.peers.clone(), parse_peer);
    let seeds = reader.optional("seeds", flags.seeds.clone(), parse_seeds);
    let region = reader.required("region", flags.region.clone(), parse_name);
    let centre = reader.required("data-centre", flags.data_centre.clone(), parse_name);
    let peer_key = reader.secret("peer-key", flags.peer_key.clone(), parse_key);
    let token = reader.secret("operator-token", flags.operator_token.clone(), parse_token);
    let grace = reader.optional("drain-grace-ms", flags.drain_grace_ms.clone(), parse_millis);
    let limit = reader.optional("drain-limit-ms", flags.drain_limit_ms.clone(), parse_millis);
    let connections = reader.optional("connections", flags.connections.clone(), parse_connections);
    let body = reader.optional("body-limit", flags.body_limit.clone(), parse_body);
    let seed = reader.optional("random-seed", flags.random_seed.clone(), |text| {
        text.parse().ok()
    });
    let addresses = Addresses {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    };
    let mut node = NodeSettings::new(addresses, peer_key?, token?)
        .place(region?, centre?)
        .seeds(seeds.unwrap_or_default());
    node.drain_grace = grace.unwrap_or(node.drain_grace);
    node.drain_limit = limit.unwrap_or(node.drain_limit);
    node.connections = connections.unwrap_or(node.connections);
    node.body_limit = body.unwrap_or(node.body_limit);
    node.seed = seed;
    Some(node)
}

/// An address to listen on; it may be unspecified.
fn parse_listen(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
}

/// An address that others reach.
fn parse_peer(text: &str) -> Option<SocketAddr> {
    parse_listen(text).filter(|address| !address.ip().is_unspecified())
}

fn parse_seeds(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(parse_peer)
        .collect()
}

fn parse_key(text: &str) -> Option<PeerKey> {
    text.parse().ok()
}

fn parse_token(text: &str) -> Option<OperatorToken> {
    (text.len() >= TOKEN_MIN).then(|| OperatorToken::new(text))
}

fn parse_name(text: &str) -> Option<String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = (1..=64).contains(&text.len());
    (fits && text.bytes().all(plain)).then(|| text.to_owned())
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

fn parse_body(text: &str) -> Option<usize> {
    text.parse()
        .ok()
        .filter(|bytes| (1_024..=(64 << 20)).contains(bytes))
}

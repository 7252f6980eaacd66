//! The command line of `tanagerctl`.

use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser, Parser, construct};
use tanagerhub_catalogue::Mark;
use tanagerhub_wire::operators::{MarkTarget, Subject};

/// The parsed command line of `tanagerctl`.
#[derive(Debug, Clone)]
pub struct Ctl {
    /// Options that every command takes.
    pub common: Common,
    /// The command to run.
    pub command: Command,
}

/// Options that every command takes
#[derive(Clone, Bpaf)]
pub struct Common {
    /// Operator addresses of nodes, tried in order.
    #[bpaf(
        argument("IP:PORT"),
        help("A node's operator address; several are tried in order [env: TANAGERCTL_ADDRESS]"),
        many
    )]
    pub address: Vec<String>,
    /// The operators' token, sent as a bearer token.
    #[bpaf(
        argument("SECRET"),
        help("The operators' token; better set by the variable [env: TANAGERCTL_TOKEN]")
    )]
    pub token: Option<String>,
    /// Print JSON
    pub json: bool,
    /// How long a node may take to respond, in seconds
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    pub timeout: u64,
}

impl std::fmt::Debug for Common {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Common")
            .field("address", &self.address)
            .field("json", &self.json)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// A command of `tanagerctl`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Replace the catalogue.
    Apply(ApplyFlags),
    /// Check a document and compare it, without sending anything.
    Check(CheckFlags),
    /// Print the catalogue in force.
    Get,
    /// Print the status of entries, groups, VMs and nodes.
    Status,
    /// Print the last decisions on a group, model or VM.
    Explain(Subject),
    /// Take a VM or data centre in or out of service.
    Mark(MarkTarget, Mark, String),
    /// Print the requests that crashed backend servers.
    Crashes,
    /// Remove the records of these requests.
    ClearCrashes,
    /// Print the complete state of a node as JSON.
    Dump,
}

/// Options of apply
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(apply_flags))]
pub struct ApplyFlags {
    /// The catalogue document
    #[bpaf(short('f'), long("file"), argument("FILE"))]
    pub file: PathBuf,
    /// The version to replace; the one that the diff is against when unset
    #[bpaf(argument("VERSION"))]
    pub expect: Option<u64>,
    /// Only check the document and print the diff
    pub dry_run: bool,
    /// Wait until the document is in force at every node
    pub wait: bool,
}

/// Options of check
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(
    generate(check_flags),
    guard(has_one_baseline, "--against and --live can't be used together")
)]
pub struct CheckFlags {
    /// Compare with this document
    #[bpaf(argument("CURRENT"))]
    pub against: Option<PathBuf>,
    /// Compare with the catalogue in force at a node
    pub live: bool,
    /// Turn warnings into errors
    pub strict: bool,
    /// The catalogue document
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

fn has_one_baseline(flags: &CheckFlags) -> bool {
    !(flags.live && flags.against.is_some())
}

/// Returns the parser of the command line.
#[must_use]
pub fn ctl() -> OptionParser<Ctl> {
    let apply = command(
        "apply",
        "Replace the catalogue by a document",
        apply_flags().map(Command::Apply),
    );
    let check = command(
        "check",
        "Check a document before it is applied; nothing is sent",
        check_flags().map(Command::Check),
    );
    let get = command(
        "get",
        "Print the catalogue in force",
        bpaf::pure(Command::Get),
    );
    let status = command("status", "Print what serves", bpaf::pure(Command::Status));
    let dump = command("dump", "Print a node's state", bpaf::pure(Command::Dump));
    let explain = command(
        "explain",
        "Print the last decisions on a group, model or vm",
        subject().map(Command::Explain),
    );
    let vm = command("vm", "Take a VM in or out of service", mark(MarkTarget::Vm));
    let dc = command(
        "dc",
        "Take a data centre in or out of service",
        mark(MarkTarget::DataCentre),
    );
    let crashes = crashes();
    construct!([apply, check, get, status, explain, vm, dc, crashes, dump])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Drives tanagerhub")
        .footer(
            "Exit codes: 0 done; 1 refused; 2 wrong usage; 3 no node can be reached; \
             4 committed, but not known to be in force everywhere; 5 outcome unknown. \
             Exit codes of check: 0 no findings; 1 warnings; 2 errors, or not checked",
        )
}

fn command(
    name: &'static str,
    help: &'static str,
    command: impl Parser<Command> + 'static,
) -> impl Parser<Ctl> {
    let common = common();
    construct!(Ctl { common, command })
        .to_options()
        .descr(help)
        .command(name)
        .help(help)
}

fn subject() -> impl Parser<Subject> {
    let kind = bpaf::positional::<String>("KIND").help("group, model or vm");
    let name = bpaf::positional::<String>("NAME").help("A group's id, or a name");
    construct!(kind, name).parse(|(kind, name)| {
        let subject = Subject::new(&kind, &name);
        subject.ok_or_else(|| format!("KIND is \"{kind}\": must be group, model or vm"))
    })
}

fn mark(target: MarkTarget) -> impl Parser<Command> {
    let mark = bpaf::positional::<String>("MARK")
        .help("in or out")
        .parse(|mark| match mark.as_str() {
            "in" => Ok(Mark::In),
            "out" => Ok(Mark::Out),
            _ => Err(format!("MARK is \"{mark}\": must be in or out")),
        });
    let name = bpaf::positional::<String>("NAME").help("Its name");
    construct!(mark, name).map(move |(mark, name)| Command::Mark(target, mark, name))
}

fn crashes() -> impl Parser<Ctl> {
    let list = command(
        "list",
        "Print the requests that crashed backend servers",
        bpaf::pure(Command::Crashes),
    );
    let clear = command(
        "clear",
        "Forget the requests that crashed backend servers",
        bpaf::pure(Command::ClearCrashes),
    );
    construct!([list, clear])
        .to_options()
        .descr("Requests that crashed backend servers")
        .command("crashes")
        .help("Requests that crashed backend servers: list, clear")
}

//! Runs a command.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use serde_json::Value;
use tanagerhub_catalogue::{Catalogue, CatalogueDiff, CatalogueVersion, Mark};
use tanagerhub_wire::operators::{
    Applied, CatalogueView, Cleared, CrashList, Explanation, MarkCall, MarkTarget, StatusView,
};

use crate::ctl::check::check;
use crate::ctl::command::ApplyFlags;
use crate::ctl::{Command, Common, Ctl, CtlError, OperatorClient, print};

/// The output of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// The text for standard output, with its line ends.
    pub text: String,
    /// A failure that is reported in addition to the text.
    pub error: Option<CtlError>,
}

impl From<String> for Output {
    fn from(text: String) -> Self {
        Self { text, error: None }
    }
}

/// Runs a command; `variables` looks up environment variables.
///
/// # Errors
///
/// The exit code of the error shows whether anything was changed.
pub async fn run(ctl: Ctl, variables: impl Fn(&str) -> Option<String>) -> Result<Output, CtlError> {
    let Ctl { common, command } = ctl;
    let json = common.json;
    match command {
        Command::Apply(flags) => apply(&common, &flags, &variables).await,
        Command::Check(flags) => check(&flags, json, || client(&common, &variables)).await,
        Command::Get => get(&client(&common, &variables)?, json).await,
        Command::Status => {
            let status: StatusView = client(&common, &variables)?.read("/v1/status").await?;
            Ok(render(json, &status, print::status).into())
        }
        Command::Explain(subject) => {
            let path = format!("/v1/explain/{subject}");
            let explanation: Explanation = client(&common, &variables)?.read(&path).await?;
            Ok(render(json, &explanation, print::explanation).into())
        }
        Command::Mark(target, mark, name) => {
            let client = client(&common, &variables)?;
            let applied = set_mark(&client, target, mark, name).await?;
            Ok(render(json, &applied, print::applied).into())
        }
        Command::Crashes => {
            let crashes: CrashList = client(&common, &variables)?.read("/v1/crashes").await?;
            Ok(render(json, &crashes, print::crashes).into())
        }
        Command::ClearCrashes => {
            let client = client(&common, &variables)?;
            let cleared = client.change(Method::DELETE, "/v1/crashes", Vec::new().into());
            let cleared: Cleared = cleared.await?;
            let text = |cleared: &Cleared| format!("{} forgotten\n", cleared.cleared);
            Ok(render(json, &cleared, text).into())
        }
        Command::Dump => {
            let state: Value = client(&common, &variables)?.read("/debug/state").await?;
            Ok(to_json(&state).into())
        }
    }
}

fn client(
    common: &Common,
    variables: &dyn Fn(&str) -> Option<String>,
) -> Result<OperatorClient, CtlError> {
    let addresses = if common.address.is_empty() {
        variables("TANAGERCTL_ADDRESS").into_iter().collect()
    } else {
        common.address.clone()
    };
    let addresses = addresses
        .iter()
        .flat_map(|list| list.split(','))
        .map(|text| parse_address(text.trim()))
        .collect::<Result<_, _>>()?;
    let token = common
        .token
        .clone()
        .or_else(|| variables("TANAGERCTL_TOKEN"));
    let token = token
        .ok_or_else(|| CtlError::Usage("no token: set TANAGERCTL_TOKEN or --token".to_owned()))?;
    OperatorClient::new(addresses, &token, Duration::from_secs(common.timeout))
}

fn parse_address(text: &str) -> Result<SocketAddr, CtlError> {
    text.parse().map_err(|_invalid| {
        let text = format!("--address is \"{text}\": must be an IP address and a port");
        CtlError::Usage(text)
    })
}

async fn get(client: &OperatorClient, json: bool) -> Result<Output, CtlError> {
    let view: CatalogueView = client.read("/v1/catalogue").await?;
    Ok(render(json, &view, print::catalogue).into())
}

async fn set_mark(
    client: &OperatorClient,
    target: MarkTarget,
    mark: Mark,
    name: String,
) -> Result<Applied, CtlError> {
    let call = MarkCall {
        target,
        name,
        mark,
        expected: None,
    };
    let body = serde_json::to_vec(&call).expect("marks can be encoded as JSON");
    client.change(Method::POST, "/v1/marks", body.into()).await
}

/// The output of `apply --json`.
#[derive(Debug, Serialize)]
struct ApplyReport {
    diff: CatalogueDiff,
    #[serde(flatten)]
    applied: Applied,
}

async fn apply(
    common: &Common,
    flags: &ApplyFlags,
    variables: &dyn Fn(&str) -> Option<String>,
) -> Result<Output, CtlError> {
    let file = flags.file.display().to_string();
    let document = std::fs::read_to_string(&flags.file)
        .map_err(|error| CtlError::Usage(format!("--file is \"{file}\": {error}")))?;
    let new = Catalogue::parse(&document).map_err(|error| CtlError::Mistakes {
        file,
        mistakes: error.mistakes,
    })?;
    let client = client(common, variables)?;
    let view: CatalogueView = client.read("/v1/catalogue").await?;
    let diff = CatalogueDiff::between(&view.catalogue, &new);
    // The version that the printed diff is against is the one that gets replaced.
    let expected = flags.expect.map_or(view.version, CatalogueVersion);
    let path = format!(
        "/v1/catalogue?expected={expected}&dry_run={}&wait={}",
        flags.dry_run, flags.wait
    );
    let applied: Applied = client.change(Method::PUT, &path, document.into()).await?;
    let not_in_force = flags.wait && applied.committed && !applied.in_force;
    let error = not_in_force.then(|| CtlError::NotInForce {
        version: applied.version,
        missing: applied.missing.clone(),
    });
    let report = ApplyReport { diff, applied };
    let text = |report: &ApplyReport| format!("{}{}", report.diff, print::applied(&report.applied));
    let text = render(common.json, &report, text);
    Ok(Output { text, error })
}

pub(crate) fn render<T: Serialize>(json: bool, value: &T, text: impl Fn(&T) -> String) -> String {
    if json { to_json(value) } else { text(value) }
}

fn to_json(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("responses can be encoded as JSON");
    text.push('\n');
    text
}

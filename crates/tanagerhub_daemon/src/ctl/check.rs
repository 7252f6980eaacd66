//! Checks a document before it is applied.

use std::path::Path;

use serde::Serialize;
use tanagerhub_catalogue::{Catalogue, CheckReport, Severity, check_document};
use tanagerhub_wire::operators::CatalogueView;

use crate::ctl::command::CheckFlags;
use crate::ctl::{CtlError, OperatorClient, Output, print, run};

/// The catalogue with which the document is compared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Baseline {
    /// The one in this file.
    File(String),
    /// The one of this version, in force at the node that was asked.
    Version(u64),
}

/// The output of `check`.
#[derive(Debug, Serialize)]
pub(crate) struct CheckOutput {
    pub(crate) file: String,
    pub(crate) errors: usize,
    pub(crate) warnings: usize,
    /// `None` if the document was not compared.
    pub(crate) against: Option<Baseline>,
    #[serde(flatten)]
    pub(crate) report: CheckReport,
}

/// Checks the file; `client` connects to a node and is called only for a comparison with the
/// catalogue in force. The node receives reads only, never the document.
///
/// # Errors
///
/// Fails if a file can't be read, or if a node doesn't say which catalogue is in force before and
/// after the check.
pub(crate) async fn check(
    flags: &CheckFlags,
    json: bool,
    client: impl FnOnce() -> Result<OperatorClient, CtlError>,
) -> Result<Output, CtlError> {
    let text = read_file("FILE", &flags.file)?;
    let (against, report) = if flags.live {
        let (version, report) = check_live(&text, &client()?).await?;
        (Some(Baseline::Version(version)), report)
    } else if let Some(path) = &flags.against {
        let in_force = Catalogue::parse(&read_file("--against", path)?).map_err(|error| {
            CtlError::CheckFailed(format!("--against is \"{}\": {error}", path.display()))
        })?;
        let baseline = Baseline::File(path.display().to_string());
        (Some(baseline), check_document(&text, Some(&in_force)))
    } else {
        (None, check_document(&text, None))
    };
    // A document with errors is not compared.
    let against = against.filter(|_| report.worst() != Some(Severity::Error));
    let report = if flags.strict {
        report.into_strict()
    } else {
        report
    };
    let output = CheckOutput {
        file: flags.file.display().to_string(),
        errors: report.count(Severity::Error),
        warnings: report.count(Severity::Warning),
        against,
        report,
    };
    let error = output.report.worst().map(|_| CtlError::Findings {
        errors: output.errors,
        warnings: output.warnings,
    });
    let text = run::render(json, &output, print::check);
    Ok(Output { text, error })
}

/// Checks a document against the catalogue in force at a node, and returns that version.
async fn check_live(text: &str, client: &OperatorClient) -> Result<(u64, CheckReport), CtlError> {
    let view = read_in_force(client).await?;
    let report = check_document(text, Some(&view.catalogue));
    let after = read_in_force(client).await?;
    if after.version != view.version {
        return Err(CtlError::CheckFailed(format!(
            "version {} came into force after version {} during the check; check again",
            after.version, view.version
        )));
    }
    Ok((view.version.0, report))
}

fn read_file(name: &str, path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|error| {
        CtlError::CheckFailed(format!("{name} is \"{}\": {error}", path.display()))
    })
}

/// Reads the catalogue in force at a node.
async fn read_in_force(client: &OperatorClient) -> Result<CatalogueView, CtlError> {
    let view: Result<CatalogueView, _> = client.read("/v1/catalogue").await;
    let view = view.map_err(|error| CtlError::CheckFailed(error.to_string()))?;
    if view.fresh {
        return Ok(view);
    }
    Err(CtlError::CheckFailed(format!(
        "the node does not know whether version {} is still in force",
        view.version
    )))
}

//! Formats responses of the operator API as text.

use std::fmt::Write as _;

use tanagerhub_catalogue::Mark;
use tanagerhub_wire::operators::{
    Applied, CatalogueView, CrashList, Explanation, GroupStatus, NodeStatus, StatusView, VmStatus,
};

use crate::ctl::check::{Baseline, CheckOutput};

pub(crate) fn applied(applied: &Applied) -> String {
    let version = applied.version;
    let state = match (applied.committed, applied.in_force) {
        (false, _) => "nothing was changed".to_owned(),
        (true, true) if applied.missing.is_empty() => {
            format!("version {version} is in force at every node")
        }
        (true, true) => {
            let missing = applied.missing.join(", ");
            format!("version {version} is in force; without work until they hold it: {missing}")
        }
        (true, false) if applied.missing.is_empty() => format!("version {version} is committed"),
        (true, false) => {
            let missing = applied.missing.join(", ");
            format!("version {version} is committed; not known to hold it: {missing}")
        }
    };
    state + "\n"
}

pub(crate) fn catalogue(view: &CatalogueView) -> String {
    let mut text = format!("# version {}\n", view.version);
    if !view.fresh {
        text.push_str("# the node does not know whether there is a newer version\n");
    }
    let marks = &view.catalogue.marks;
    for name in &marks.data_centres_out {
        push_line(&mut text, format_args!("# data centre {name} is out"));
    }
    for name in &marks.vms_out {
        push_line(&mut text, format_args!("# vm {name} is out"));
    }
    let document = view.catalogue.to_document();
    text + &document.unwrap_or_else(|error| format!("# can't be written as TOML: {error}\n"))
}

pub(crate) fn check(output: &CheckOutput) -> String {
    let mut text = String::new();
    for finding in &output.report.findings {
        let separator = finding.position.map_or(": ", |_| ":");
        push_line(
            &mut text,
            format_args!("{}{separator}{finding}", output.file),
        );
    }
    if text.is_empty() {
        text.push_str("no findings\n");
    }
    if let Some(against) = &output.against {
        let against = match against {
            Baseline::File(path) => path.clone(),
            Baseline::Version(version) => format!("version {version}"),
        };
        let differences = &output.report.differences;
        let (start, end) = if differences.is_empty() {
            ("no ", "")
        } else {
            ("", ":")
        };
        push_line(
            &mut text,
            format_args!("{start}differences from {against}{end}"),
        );
        for difference in differences {
            push_line(&mut text, format_args!("{difference}"));
        }
    }
    text
}

pub(crate) fn status(status: &StatusView) -> String {
    let mut text = format!(
        "node {} at version {}{}\n",
        status.node,
        status.version,
        if status.fresh {
            ""
        } else {
            ", not fresh: it takes no new work"
        }
    );
    for entry in &status.entries {
        push_line(
            &mut text,
            format_args!(
                "entry {}: {} serving ({} cold) of {} to {}, {} held{}",
                entry.name,
                entry.serving,
                entry.cold,
                entry.replicas_min,
                entry.replicas_max,
                entry.held,
                reason_suffix(&entry.reason)
            ),
        );
    }
    status.groups.iter().for_each(|item| group(&mut text, item));
    for data_centre in &status.data_centres {
        push_line(
            &mut text,
            format_args!(
                "data centre {} ({}): {}, {} VMs, {} groups serving",
                data_centre.name,
                data_centre.region,
                mark(data_centre.mark),
                data_centre.vms,
                data_centre.serving
            ),
        );
    }
    status.vms.iter().for_each(|item| vm(&mut text, item));
    status.nodes.iter().for_each(|item| node(&mut text, item));
    text
}

fn group(text: &mut String, group: &GroupStatus) {
    let serving = if group.serving {
        "serving"
    } else {
        "not serving"
    };
    push_line(
        text,
        format_args!(
            "group {} epoch {} of {} in {}: {}, {serving}{} [{}]",
            group.group,
            group.epoch,
            group.entry,
            group.data_centre,
            group.state,
            reason_suffix(&group.reason),
            group.members.join(" ")
        ),
    );
}

fn vm(text: &mut String, vm: &VmStatus) {
    let leaving = if vm.leaving { ", leaving" } else { "" };
    let group = vm
        .group
        .map_or("free".to_owned(), |group| format!("in group {group}"));
    push_line(
        text,
        format_args!(
            "vm {} in {} ({}): {}{leaving}, {group}",
            vm.name,
            vm.data_centre,
            vm.domain,
            mark(vm.mark)
        ),
    );
}

fn node(text: &mut String, node: &NodeStatus) {
    let fresh = if node.fresh { "fresh" } else { "not fresh" };
    push_line(
        text,
        format_args!(
            "node {} in {}: version {}, {fresh}, heard {} ms ago",
            node.name,
            node.data_centre,
            node.version,
            node.age.as_millis()
        ),
    );
}

pub(crate) fn explanation(explanation: &Explanation) -> String {
    let mut text = format!("{}: {}\n", explanation.subject, explanation.state);
    for decision in &explanation.decisions {
        push_line(
            &mut text,
            format_args!(
                "{} ms ago, {}: {} because {}",
                decision.age.as_millis(),
                decision.node,
                decision.decision,
                decision.cause
            ),
        );
    }
    text
}

pub(crate) fn crashes(list: &CrashList) -> String {
    let mut text = String::new();
    for crash in &list.crashes {
        push_line(
            &mut text,
            format_args!(
                "{:016x} of {} to {}: {} crashes, {}, forgotten in {} s",
                crash.fingerprint,
                crash.organisation,
                crash.entry,
                crash.strikes,
                if crash.refused {
                    "refused"
                } else {
                    "let through"
                },
                crash.expires.as_secs()
            ),
        );
    }
    if text.is_empty() {
        "none\n".to_owned()
    } else {
        text
    }
}

fn reason_suffix(reason: &str) -> String {
    if reason.is_empty() {
        String::new()
    } else {
        format!(", because {reason}")
    }
}

const fn mark(mark: Mark) -> &'static str {
    match mark {
        Mark::In => "in",
        Mark::Out => "out",
    }
}

fn push_line(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    writeln!(text, "{arguments}").expect("writing to a string never fails");
}

//! Checks that accepted configurations come into force in time and are not reverted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::CatalogueVersion;
use tanagerhub_clock::Moment;

use crate::{Event, Violation};

#[derive(Debug, Default)]
pub(super) struct Configuration {
    accepted: Vec<(CatalogueVersion, Moment)>,
    in_force: HashMap<SocketAddr, CatalogueVersion>,
}

impl Configuration {
    pub(super) fn apply(
        &mut self,
        at: Moment,
        event: &Event,
        limit: Duration,
        violations: &mut Vec<Violation>,
    ) {
        match event {
            Event::Accepted { version } => self.accepted.push((*version, at)),
            Event::InForce { node, version } => {
                violations.extend(self.overdue(at, *node, *version, limit));
                violations.extend(self.reverted(*node, *version));
                self.in_force.insert(*node, *version);
            }
            _ => {}
        }
    }

    fn overdue(
        &self,
        at: Moment,
        node: SocketAddr,
        found: CatalogueVersion,
        limit: Duration,
    ) -> Option<Violation> {
        let overdue = |(version, since): &&(CatalogueVersion, Moment)| {
            *version > found && at.since(*since) > limit
        };
        let (accepted, since) = self.accepted.iter().find(overdue)?;
        Some(Violation::NotInForce {
            node,
            found,
            accepted: *accepted,
            age: at.since(*since),
        })
    }

    fn reverted(&self, node: SocketAddr, to: CatalogueVersion) -> Option<Violation> {
        let from = *self.in_force.get(&node)?;
        (to < from).then_some(Violation::Reverted { node, from, to })
    }
}

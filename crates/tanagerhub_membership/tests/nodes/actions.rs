//! The effects of the nodes' actions on the store and on other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tanagerhub_membership::{
    Beacon, MembershipAction, MembershipEvent, PeerRequest, PeerRequestId, PeerResponse,
};

use super::{Delivery, Simulation};

/// The size of the frame's header and authentication code and of the UDP and IP headers, in bytes.
const DATAGRAM_OVERHEAD: u64 = 34 + 28;

impl Simulation {
    pub(super) fn perform_actions(&mut self, node: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            self.perform_action(node, action);
        }
    }

    fn perform_action(&mut self, node: usize, action: MembershipAction) {
        match action {
            MembershipAction::SendBeacon { to, beacon } => self.send(node, to, beacon),
            MembershipAction::SendRequest {
                request_id,
                to,
                request,
            } => {
                let refused = matches!(request, PeerRequest::Document(_))
                    && self.without_documents.contains(&node);
                let target = self.routes.get(&to).copied().filter(|_| !refused);
                let open = target.filter(|it| self.is_open(node, *it) && self.nodes[*it].alive);
                let Some(target) = open else {
                    let event = MembershipEvent::PeerResponse {
                        request_id,
                        response: None,
                    };
                    self.later(node, Duration::from_secs(1), event);
                    return;
                };
                self.next += 1;
                let own = PeerRequestId(u64::MAX - self.next);
                let event = Box::new(MembershipEvent::PeerRequest {
                    request_id: own,
                    request,
                });
                let delivery = Delivery::Request {
                    requester: node,
                    request_id,
                    event,
                };
                self.deliver(target, self.now + self.delay * 2, delivery);
            }
            MembershipAction::SendResponse {
                request_id,
                response,
            } => self.send_response(node, request_id, response),
            MembershipAction::Read { read, rows } => {
                let cut = self.without_store.contains(&node);
                let rows = if cut { None } else { self.store.read(&rows) };
                let event = match rows {
                    Some(rows) => MembershipEvent::Rows { read, rows },
                    None => MembershipEvent::ReadFailed { read },
                };
                self.later(node, self.store_delay, event);
            }
            MembershipAction::Commit(transaction) => {
                let cut = self.without_store.contains(&node);
                let outcome = if cut {
                    tanagerhub_table::CommitOutcome::NotApplied
                } else {
                    self.store.commit(&transaction)
                };
                let transaction = transaction.id;
                let event = MembershipEvent::Committed {
                    transaction,
                    outcome,
                };
                self.later(node, self.store_delay, event);
            }
            MembershipAction::Fetch(hash) => {
                let cut =
                    self.without_store.contains(&node) || self.without_documents.contains(&node);
                let body = self.store.get(hash).filter(|_| !cut);
                self.later(
                    node,
                    self.store_delay,
                    MembershipEvent::Fetched { hash, body },
                );
            }
            MembershipAction::Store { hash, body } => {
                let kept = !self.without_store.contains(&node) && self.store.put(hash, body);
                self.later(
                    node,
                    self.store_delay,
                    MembershipEvent::Stored { hash, kept },
                );
            }
            MembershipAction::CatalogueAdopted(catalogue) => {
                self.nodes[node].adopted.push((self.now, catalogue.version));
            }
            MembershipAction::ApplyCompleted { operation, outcome } => {
                self.outcomes.push((self.now, operation, outcome));
            }
            MembershipAction::Facts(facts) => self.nodes[node].received_facts.extend(facts),
        }
    }

    fn is_open(&self, from: usize, to: usize) -> bool {
        !self.blocked_links.contains(&(from, to))
    }

    fn send_response(&mut self, node: usize, request_id: PeerRequestId, response: PeerResponse) {
        let Some((requester, request_id)) = self.requests.remove(&request_id) else {
            return;
        };
        let response = Some(response).filter(|_| self.is_open(node, requester));
        let event = MembershipEvent::PeerResponse {
            request_id,
            response,
        };
        self.later(requester, self.delay * 2, event);
    }

    fn send(&mut self, node: usize, to: SocketAddr, beacon: Beacon) {
        let config = bincode::config::standard();
        let size = bincode::serde::encode_to_vec(&beacon, config)
            .expect("encodes")
            .len();
        self.nodes[node].sent_bytes += size as u64 + DATAGRAM_OVERHEAD;
        self.nodes[node].sent += 1;
        let lost = self.rng.random_bool(self.loss);
        let Some(target) = self.routes.get(&to).copied() else {
            return;
        };
        if lost || !self.is_open(node, target) {
            return;
        }
        let from = self.nodes[node].address;
        let wait = self.delay.mul_f64(self.rng.random_range(0.5..1.5));
        self.later(target, wait, MembershipEvent::Beacon { from, beacon });
    }
}

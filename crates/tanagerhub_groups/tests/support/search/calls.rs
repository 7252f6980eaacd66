//! What differs between builds of the deciding code: the questions of a planner, and the evidence of
//! orders.

use tanagerhub_groups::{GroupsAction, GroupsEvent, JoinProof, Order, Promised, TermRow};

use super::world::{Delivery, Question, World};

/// Returns the number of accepted orders that an order names.
pub fn expected_count(order: &Order) -> Option<u64> {
    match order {
        Order::Join { proof, .. } => match proof {
            JoinProof::Counted(proof) => Some(proof.order_count()),
            JoinProof::Sole(_) => None,
        },
        Order::Open { proof, .. } => Some(proof.order_count()),
        Order::Close { .. } | Order::Leave { .. } | Order::Stage { .. } => None,
    }
}

impl World {
    /// Returns a node's row as the planner.
    pub fn term_row(&self, node: usize, value: Vec<u8>) -> TermRow {
        TermRow {
            key: Self::presence_key(node),
            value,
            guarantors: self.nodes[node].presence.guarantors(self.now),
        }
    }

    /// Sends a question of a planner to other nodes.
    pub fn ask(&mut self, node: usize, action: GroupsAction) {
        let (now, presence) = (self.now, &mut self.nodes[node].presence);
        match action {
            GroupsAction::AskPromises { guarantors } => {
                let mut asked = guarantors;
                asked.extend(presence.successors(now));
                asked.sort_unstable();
                asked.dedup();
                self.ask_nodes(node, &asked, Question::Promise);
            }
            GroupsAction::AskConsent {
                planner,
                mut guarantors,
                asked_at,
            } => {
                let own = presence.own_address();
                let is_own = guarantors.iter().any(|it| Some(*it) == own);
                let wait = is_own.then(|| presence.consent(now));
                guarantors.extend(presence.address_of(planner));
                guarantors.retain(|it| Some(*it) != own);
                let question = Question::Consent { asked_at, wait };
                self.ask_nodes(node, &guarantors, question);
            }
            other => unreachable!("{other:?}"),
        }
    }

    /// Answers a question at a node, and returns the answer; `None` for none.
    pub fn answer(&mut self, node: usize, question: Question) -> Option<Answer> {
        let (now, store_fails) = (self.now, !self.reaches_store(node));
        let asked = &mut self.nodes[node];
        Some(match question {
            Question::Promise => {
                let promised = if asked.groups.may_promise() {
                    asked.presence.promise(now, store_fails)
                } else {
                    Promised::Refused
                };
                match promised {
                    Promised::Given => Answer::Promise(true),
                    Promised::Refused => Answer::Promise(false),
                    Promised::NotYet => return None,
                }
            }
            Question::Consent { .. } => {
                let term = asked.groups.yield_term(now)?;
                Answer::Consent(term.max(asked.presence.consent(now)))
            }
        })
    }

    /// Returns the event by which all answers to a question reach the node that asked.
    pub fn conclude(
        question: Question,
        asked_at: tanagerhub_clock::Moment,
        answers: &[(std::net::SocketAddr, Answer)],
    ) -> Option<Delivery> {
        let event = match question {
            Question::Promise => {
                let refused = answers.iter().any(|it| it.1 == Answer::Promise(false));
                let by = answers.iter().map(|it| it.0).collect();
                if refused {
                    return None;
                }
                GroupsEvent::Promised { asked_at, by }
            }
            Question::Consent { asked_at, wait } => {
                let waits = answers.iter().filter_map(|(_, answer)| match answer {
                    Answer::Consent(wait) => Some(*wait),
                    Answer::Promise(_) => None,
                });
                let wait = waits.chain(wait).min();
                GroupsEvent::Consented { asked_at, wait }
            }
        };
        Some(Delivery::Event(event))
    }
}

/// A node's answer to a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Promise(bool),
    Consent(std::time::Duration),
}

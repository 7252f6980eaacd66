//! The troubles of a run, as the pages allow them.

use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_groups::Order;

/// The part of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    LargeHead,
    LargeMember,
    SmallHead,
    SmallMember,
    Spare,
}

impl Role {
    /// Returns the part of the head or another member of a group of this size.
    pub const fn of(size: usize, is_head: bool) -> Self {
        match (size, is_head) {
            (0, _) => Self::Spare,
            (2, true) => Self::SmallHead,
            (2, false) => Self::SmallMember,
            (_, true) => Self::LargeHead,
            (_, false) => Self::LargeMember,
        }
    }
}

/// An order that is left unanswered and carried out late: the first one that fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateOrder {
    pub is_open: bool,
    pub role: Role,
    /// Whether it comes after the first trouble, and not as a group forms at the start.
    pub in_trouble: bool,
    /// How late it is, unless its VM has left a group before.
    pub by: Duration,
}

impl LateOrder {
    pub fn matches(self, order: &Order, role: Role, in_trouble: bool) -> bool {
        let is_kind = match order {
            Order::Open { .. } => self.is_open,
            Order::Join { .. } => !self.is_open,
            Order::Close { .. } | Order::Leave { .. } | Order::Stage { .. } => false,
        };
        is_kind && self.role == role && self.in_trouble == in_trouble
    }
}

/// What a VM does with orders, beside what the pages say of a sound one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// It opens whatever number of orders the order names.
    OpensUncounted,
    /// It leaves joins unanswered that name a number, until it gets one without, which it carries out
    /// late by this time.
    NeedsSoleJoin(Duration),
    /// It leaves orders of a kind unanswered, between two times, and never carries them out.
    Ignores(OrderKind, Moment, Moment),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    Any,
    Join,
    Open,
    /// To close or to leave.
    End,
}

impl OrderKind {
    pub const fn includes(self, order: &Order) -> bool {
        match self {
            Self::Any => true,
            Self::Join => matches!(order, Order::Join { .. }),
            Self::Open => matches!(order, Order::Open { .. }),
            Self::End => matches!(order, Order::Close { .. } | Order::Leave { .. }),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// A node that doesn't plan stops in order.
    StopOther,
    /// The process of a node ends.
    End(usize),
    KillPlanner,
    KillOther,
    FreezePlanner(Duration),
    /// Another node starts, in a deployment with large groups of this size.
    StartNode(usize),
    /// The store turns the planner away, and serves the others.
    TurnPlannerAway(Duration),
    TurnAllAway(Duration),
    /// The store takes longer for each transaction.
    SlowStore(Duration, Duration),
    LoseAnswers(Duration),
    Crash(Role),
    Silence(Role, Duration),
    /// A head that has left its group opens it once more, alone or with the members that are in none.
    Revive {
        with_members: bool,
    },
}

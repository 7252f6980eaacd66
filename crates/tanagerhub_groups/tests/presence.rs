//! Which nodes are there, and which of them may plan.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::DataCentreId;
use tanagerhub_clock::Moment;
use tanagerhub_groups::{KnownBoots, Presence, PresenceAction, RelayPlace, SUCCESSORS};
use tanagerhub_table::{RowKey, RowVersion, VersionedRow};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Nodes that see each other's rows at once, as long as they live.
struct Fleet {
    now: Moment,
    nodes: Vec<(String, Presence, bool)>,
    version: u64,
    /// Places of the nodes that tried to plan.
    tried: Vec<usize>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let node = |place: usize| {
            let name = format!("node-{place:03}");
            let boot = u64::try_from(place + 1).unwrap();
            (name.clone(), Presence::new(name, boot, boot * 37), true)
        };
        Self {
            now: Moment::from_millis(1_000),
            nodes: (0..count).map(node).collect(),
            version: 0,
            tried: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            for place in 0..self.nodes.len() {
                self.tick(place);
            }
        }
    }

    fn tick(&mut self, place: usize) {
        let (name, presence, alive) = &mut self.nodes[place];
        if !*alive {
            return;
        }
        let name = name.clone();
        for action in presence.tick(self.now, true) {
            match action {
                PresenceAction::Write(value) => self.write(&name, value),
                PresenceAction::Plan(_) => self.tried.push(place),
            }
        }
    }

    fn write(&mut self, name: &str, value: Vec<u8>) {
        self.version += 1;
        let row = VersionedRow {
            key: RowKey::in_table("nodes", name),
            version: RowVersion(self.version),
            value: Some(value),
        };
        for (_, presence, _) in &mut self.nodes {
            presence
                .rows(self.now, std::slice::from_ref(&row), false)
                .unwrap();
        }
    }

    fn plan(&mut self, place: usize) {
        self.nodes[place].1.plans(true);
        self.tried.clear();
    }
}

#[test]
fn plan_where_nobody_does() {
    let mut fleet = Fleet::new(4);
    fleet.run(SECOND);
    assert!(!fleet.tried.is_empty());
}

#[test]
fn leave_planning_to_live_planner() {
    let mut fleet = Fleet::new(4);
    fleet.plan(2);
    fleet.run(SECOND);
    fleet.tried.clear();
    fleet.run(30 * SECOND);
    assert!(fleet.tried.is_empty(), "{:?}", fleet.tried);
}

#[test]
fn replace_silent_planner() {
    let mut fleet = Fleet::new(6);
    fleet.plan(5);
    fleet.run(5 * SECOND);
    fleet.tried.clear();
    fleet.nodes[5].2 = false;
    // Its last row may be a second old already.
    fleet.run(Duration::from_millis(1_500));
    assert!(fleet.tried.is_empty(), "{:?}", fleet.tried);
    fleet.run(2 * SECOND);
    assert!(!fleet.tried.is_empty());
    assert!(fleet.tried.iter().all(|place| *place < SUCCESSORS));
}

#[test]
fn count_live_nodes() {
    let mut fleet = Fleet::new(6);
    fleet.run(6 * SECOND);
    assert_eq!(fleet.nodes[0].1.live(fleet.now), 6);
    fleet.nodes[3].2 = false;
    fleet.run(20 * SECOND);
    assert_eq!(fleet.nodes[0].1.live(fleet.now), 5);
}

#[test]
fn write_rarely_in_large_fleet() {
    let mut fleet = Fleet::new(60);
    fleet.plan(0);
    fleet.run(30 * SECOND);
    let before = fleet.version;
    fleet.run(30 * SECOND);
    // One write a second by the planner, and one every 15 s by each other node.
    let writes = fleet.version - before;
    assert!(writes <= 30 + 2 * 59 + 5, "{writes}");
}

/// The row that a node writes at its start.
fn row_of(node: &str, boot: u64, plans: bool, version: u64) -> VersionedRow {
    let mut presence = Presence::new(node, boot, 0);
    presence.plans(plans);
    let actions = presence.tick(Moment::from_millis(1_000), false);
    let Some(PresenceAction::Write(value)) = actions.into_iter().next() else {
        panic!("a node writes its row at once");
    };
    VersionedRow {
        key: RowKey::in_table("nodes", node),
        version: RowVersion(version),
        value: Some(value),
    }
}

/// What a node knows of the others' starts when it tries to plan.
fn boots(presence: &mut Presence, now: Moment) -> Option<KnownBoots> {
    presence
        .tick(now, true)
        .into_iter()
        .find_map(|action| match action {
            PresenceAction::Plan(boots) => Some(boots),
            PresenceAction::Write(_) => None,
        })
}

#[test]
fn former_start_of_a_node_is_gone() {
    let now = Moment::from_millis(1_000);
    let mut presence = Presence::new("node-b", 2, 0);
    presence
        .rows(now, &[row_of("node-a", 1, true, 1)], true)
        .unwrap();
    presence
        .rows(now, &[row_of("node-a", 9, false, 2)], false)
        .unwrap();
    let boots = boots(&mut presence, now).unwrap();
    assert_eq!(boots.gone, [1]);
    assert_eq!(boots.live, [9]);
}

#[test]
fn late_row_of_former_start_is_ignored() {
    let now = Moment::from_millis(1_000);
    let mut presence = Presence::new("node-b", 2, 0);
    for row in [
        row_of("node-a", 1, true, 1),
        row_of("node-a", 9, false, 2),
        row_of("node-a", 1, true, 3),
    ] {
        presence.rows(now, &[row], false).unwrap();
    }
    assert!(!presence.other_plans(now));
    assert!(boots(&mut presence, now).unwrap().gone.contains(&1));
}

/// A node that sees the rows of nodes named by data centre and place, such as `a-1`.
fn relaying(node: &str, others: &[&str]) -> Presence {
    let mut presence = relay_of(node, 1);
    for (boot, name) in (2..).zip(others) {
        let mut other = relay_of(name, boot);
        let actions = other.tick(Moment::from_millis(1_000), false);
        let PresenceAction::Write(value) = &actions[0] else {
            panic!("{actions:?}");
        };
        let row = VersionedRow {
            key: RowKey::in_table("nodes", name),
            version: RowVersion(boot),
            value: Some(value.clone()),
        };
        let now = Moment::from_millis(1_000);
        presence.rows(now, &[row], false).unwrap();
    }
    presence
}

fn relay_of(name: &str, boot: u64) -> Presence {
    let (centre, place) = name.split_once('-').unwrap();
    let place: u16 = place.parse().unwrap();
    Presence::new(name, boot, 0).relay(RelayPlace {
        data_centre: DataCentreId::of(centre),
        address: SocketAddr::from(([10, 0, 0, 1], place)),
    })
}

#[parameterized(
    first = { "a-1", &["a-2", "a-3", "b-1"], &[] },
    second = { "a-2", &["a-1", "a-3", "b-1"], &[1] },
    third = { "a-3", &["a-1", "a-2", "b-1"], &[1, 2] },
    alone_in_its_centre = { "b-1", &["a-1", "a-2"], &[] },
)]
fn relays_precede_in_data_centre(node: &str, others: &[&str], expected: &[u16]) {
    let presence = relaying(node, others);
    let relays = presence.relays(Moment::from_millis(1_100));
    let ports: Vec<u16> = relays.iter().map(SocketAddr::port).collect();
    assert_eq!(ports, expected);
}

#[test]
fn relays_of_silent_nodes_are_left_out() {
    let presence = relaying("a-2", &["a-1"]);
    assert_eq!(presence.relays(Moment::from_millis(60_000)), []);
}

#[parameterized(
    one_centre = { &["a-2", "a-3"], 1 },
    two_centres = { &["a-2", "b-1", "b-2"], 2 },
    none_known = { &[], 1 },
)]
fn askers_are_one_a_data_centre(others: &[&str], expected: usize) {
    let presence = relaying("a-1", others);
    assert_eq!(presence.askers(Moment::from_millis(1_100)), expected);
}

#[test]
fn askers_without_relay_are_all() {
    let mut fleet = Fleet::new(5);
    fleet.run(2 * SECOND);
    assert_eq!(fleet.nodes[3].1.askers(fleet.now), 5);
    assert_eq!(fleet.nodes[3].1.relays(fleet.now), []);
}

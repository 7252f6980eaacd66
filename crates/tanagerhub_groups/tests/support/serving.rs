//! The state that most tests begin with.

use std::time::Duration;

use tanagerhub_groups::KnownBoots;

use super::Simulation;

impl Simulation {
    /// Runs six domains until they serve. The first of `nodes` nodes is the planner.
    pub fn serving(nodes: u64) -> Self {
        let mut simulation = Self::new(6, 10);
        for boot in 2..=nodes {
            simulation.add_node(boot);
        }
        simulation.plan(0, KnownBoots::default());
        simulation.run(Duration::from_secs(9));
        simulation.begin_traffic();
        simulation
    }

    /// Returns one domain of VMs that have both models staged, for groups of 3 and of 2 VMs. There are no
    /// groups yet.
    pub fn staged(vms: usize) -> Self {
        Self::staged_for(vms, (3, 2))
    }

    /// Returns such a domain with other sizes of the groups of `big` and `small`.
    pub fn staged_for(vms: usize, sizes: (usize, usize)) -> Self {
        let mut simulation = Self::new(1, vms);
        simulation.engine.models[0].share = 0.75;
        simulation.engine.models[1].share = 0.25;
        simulation.resize_groups(sizes);
        for server in simulation.servers.values_mut() {
            server.report.staged = vec!["big".to_owned(), "small".to_owned()];
        }
        simulation.list_all();
        simulation
    }

    /// Returns whether one group of each model serves.
    pub fn serves_both(&self) -> bool {
        self.open_heads("big").len() == 1 && self.open_heads("small").len() == 1
    }

    /// Returns the VMs in no group, as the first node knows them.
    pub fn spares(&self) -> Vec<String> {
        let assigned = self.assigned(0);
        let servers = self.servers.values();
        let names = servers.map(|server| server.report.vm.name.clone());
        names.filter(|name| !assigned.contains(name)).collect()
    }
}

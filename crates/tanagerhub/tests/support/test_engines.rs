//! Engines that accept no orders and report what the node knows of them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;

use tanagerhub::gateway::{BoxFuture, CallConditions, EngineAnswer, Engines};
use tanagerhub_groups::{Order, OrderResult, ProbeFailure, VmReport};

/// Engines that accept no orders and report the previous state.
#[derive(Debug, Default)]
pub struct TestEngines {
    /// Names of VMs that don't respond to probes.
    pub unreachable: Mutex<BTreeSet<String>>,
    /// Names of VMs that report in each response to a probe that they leave.
    pub leaving: Mutex<BTreeSet<String>>,
    /// The number of probes of each VM.
    pub probes: Mutex<HashMap<String, usize>>,
}

impl Engines for TestEngines {
    fn order<'a>(
        &'a self,
        _name: &'a str,
        _address: SocketAddr,
        _order: &'a Order,
        conditions: CallConditions<'a>,
    ) -> BoxFuture<'a, EngineAnswer<OrderResult>> {
        let is_sent = (conditions.may_send)();
        let result = if is_sent {
            OrderResult::NotSent
        } else {
            OrderResult::Paused
        };
        Box::pin(async move { result.into() })
    }

    fn report<'a>(
        &'a self,
        known: &'a VmReport,
        conditions: CallConditions<'a>,
    ) -> BoxFuture<'a, EngineAnswer<Result<VmReport, ProbeFailure>>> {
        if !(conditions.may_send)() {
            return Box::pin(async { Err(ProbeFailure::Paused).into() });
        }
        let names = &self.leaving;
        let leaving = names.lock().unwrap().contains(&known.vm.name);
        *self
            .probes
            .lock()
            .unwrap()
            .entry(known.vm.name.clone())
            .or_default() += 1;
        let responds = !self.unreachable.lock().unwrap().contains(&known.vm.name);
        let result = responds
            .then(|| known.clone())
            .ok_or(ProbeFailure::Unanswered);
        let mut answer = EngineAnswer::from(result);
        answer.report.report.leaving = leaving;
        Box::pin(async { answer })
    }
}

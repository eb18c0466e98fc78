//! The status of the fleet as a host knows it, for status pages and metrics.

use crate::plan::FleetPlan;
use crate::transport::{LinkStatus, Requester, Traffic, TrafficCounts};
use pearfork_ledger::{HostNumber, Voter};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Status of a member in the lease table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberLine {
    /// Host of the process.
    pub host: u16,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Milliseconds since its last request; none if this voter has got none as the leader.
    #[serde(rename = "heard_ms")]
    pub since_request_ms: Option<f64>,
    /// Milliseconds until the leader lets its lease expire; none if this voter is not the leader.
    #[serde(rename = "over_in_ms")]
    pub expires_in_ms: Option<f64>,
}

/// Status of a budget in the lease table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetLine {
    /// Name of the budget.
    pub budget: String,
    /// Sum of all allocations, as a fraction of the whole.
    pub lent: f64,
    /// Allocated fraction by host.
    #[serde(rename = "to")]
    pub by_host: BTreeMap<u16, f64>,
}

/// Status of a voter.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct VoterView {
    /// The store error that keeps it from voting; none if it votes.
    pub trouble: Option<String>,
    /// The current term.
    pub term: u64,
    /// The leader, if this voter knows it.
    pub leader: Option<u16>,
    /// Whether it is the leader and grants leases.
    pub lends: bool,
    /// Index of the last entry that it knows to be committed.
    pub commit: u64,
    /// Members in the lease table.
    pub members: Vec<MemberLine>,
    /// Budgets in the lease table.
    pub budgets: Vec<BudgetLine>,
}

impl VoterView {
    /// The status of a running voter.
    pub(crate) fn new(voter: &Voter<Requester>, now: f64) -> VoterView {
        let state = voter.state();
        let leases = voter.lease_manager().map(|l| l.leases());
        let table = voter.table();
        let member = |(id, m): (&pearfork_ledger::Incarnation, &pearfork_ledger::Member)| {
            let lease = leases.and_then(|l| l.get(id));
            MemberLine {
                host: m.host.0,
                incarnation: id.0,
                since_request_ms: lease.map(|l| now - l.last_request_at).filter(|ms| ms.is_finite()),
                expires_in_ms: lease.map(|l| l.expires_at - now),
            }
        };
        // A host may have several processes while the lease of an earlier one has not expired; their
        // allocations are added.
        let budget = |(b, holders): (&pearfork_ledger::Budget, &BTreeMap<_, pearfork_ledger::Allocation>)| {
            let mut by_host = BTreeMap::new();
            for (incarnation, allocation) in holders {
                let host = table.members().get(incarnation).map_or(u16::MAX, |m| m.host.0);
                *by_host.entry(host).or_insert(0.0) += allocation.fraction.as_f64();
            }
            BudgetLine { budget: b.to_string(), lent: table.total_allocated(b).as_f64(), by_host }
        };
        VoterView {
            trouble: None,
            term: state.term,
            leader: state.leader.map(|h| h.0),
            lends: leases.is_some(),
            commit: state.commit,
            members: table.members().iter().map(member).collect(),
            budgets: table.budgets().map(budget).collect(),
        }
    }
}

/// This host's share of a budget.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HeldLine {
    /// Name of the budget.
    pub budget: String,
    /// The host's floor, as a fraction of the whole.
    pub floor: f64,
    /// The fraction that it leases on top of that; 0 once the lease has expired.
    pub lent: f64,
    /// The demand of its clients, as a fraction of the whole.
    pub demand: f64,
}

/// Status of the lease holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HolderView {
    /// Incarnation of this process; none if it has not joined.
    pub incarnation: Option<u64>,
    /// Milliseconds until the lease expires; negative once it has expired, none if there is no lease.
    pub lease_ms: Option<f64>,
    /// Another process joined later with the same host number.
    pub superseded: bool,
    /// The voter that it sends its requests to.
    pub asks: Option<u16>,
    /// Number of lease requests sent.
    pub asked: u64,
    /// Number of responses with a lease.
    pub answered: u64,
    /// Its shares of budgets.
    pub budgets: Vec<HeldLine>,
}

/// Status of the link to a voter.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LinkLine {
    /// The voter.
    pub voter: u16,
    /// Whether the link is up and the handshake is done.
    pub up: bool,
    /// Why this host or the voter refused the other side; none if neither did.
    pub refused: Option<String>,
}

/// The status of the fleet, as a host knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// The fleet's name.
    pub fleet: String,
    /// Checksum of the settings that must be the same on all hosts.
    pub settings: String,
    /// This host.
    pub host: u16,
    /// The lease holder of this host.
    pub holder: HolderView,
    /// The voter of this host; none if it is not a voter.
    pub voter: Option<VoterView>,
    /// Links to the other voters.
    pub links: Vec<LinkLine>,
    /// Traffic over its fleet sockets.
    pub traffic: TrafficCounts,
}

/// The status that the threads update.
pub(crate) struct SharedView {
    view: Mutex<FleetView>,
    pub(crate) traffic: Arc<Traffic>,
}

impl SharedView {
    pub(crate) fn new(plan: &FleetPlan) -> SharedView {
        let view = FleetView {
            fleet: plan.name.clone(),
            settings: plan.fingerprint(),
            host: plan.me.0,
            holder: HolderView::default(),
            voter: plan.votes().then(VoterView::default),
            links: Vec::new(),
            traffic: TrafficCounts::default(),
        };
        SharedView { view: Mutex::new(view), traffic: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn view(&self) -> FleetView {
        FleetView { traffic: self.traffic.counts(), ..self.lock().clone() }
    }

    pub(crate) fn update_voter(&self, update: impl FnOnce(&mut VoterView)) {
        if let Some(voter) = &mut self.lock().voter {
            update(voter);
        }
    }

    pub(crate) fn set_holder(&self, view: HolderView) {
        self.lock().holder = view;
    }

    pub(crate) fn set_links(&self, statuses: &HashMap<HostNumber, LinkStatus>) {
        let line = |(host, status): (&HostNumber, &LinkStatus)| LinkLine {
            voter: host.0,
            up: status.up,
            refused: status.refused.clone(),
        };
        let mut links: Vec<LinkLine> = statuses.iter().map(line).collect();
        links.sort_by_key(|l| l.voter);
        self.lock().links = links;
    }
}

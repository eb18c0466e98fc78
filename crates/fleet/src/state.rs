//! What a host knows of its fleet, for status pages and metrics.

use crate::plan::FleetPlan;
use crate::transport::{LinkStatus, Requester, Traffic, TrafficCounts};
use pearfork_ledger::{HostNumber, Voter};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A process in the table, as a leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberLine {
    /// Its host.
    pub host: u16,
    /// Its incarnation.
    pub incarnation: u64,
    /// Milliseconds since it was last heard; none where that was before this leader.
    pub heard_ms: Option<f64>,
    /// Milliseconds until its lease is over for the leader.
    pub over_in_ms: Option<f64>,
}

/// A budget in the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetLine {
    /// Its name.
    pub budget: String,
    /// What is lent of it in all, as a fraction of the whole.
    pub lent: f64,
    /// To which host how much.
    pub to: BTreeMap<u16, f64>,
}

/// A voter's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct VoterView {
    /// Why it does not vote, where it does not.
    pub trouble: Option<String>,
    /// The term.
    pub term: u64,
    /// The leader.
    pub leader: Option<u16>,
    /// Whether it lends.
    pub lends: bool,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Processes in the table.
    pub members: Vec<MemberLine>,
    /// Budgets in the table.
    pub budgets: Vec<BudgetLine>,
}

impl VoterView {
    /// The view of a voter that runs.
    pub(crate) fn of(voter: &Voter<Requester>, now: f64) -> VoterView {
        let state = voter.state();
        let leases = voter.lease_manager().map(|l| l.leases());
        let table = voter.table();
        let member = |(who, m): (&pearfork_ledger::Incarnation, &pearfork_ledger::Member)| {
            let lease = leases.and_then(|a| a.get(who));
            MemberLine {
                host: m.host.0,
                incarnation: who.0,
                heard_ms: lease.map(|a| now - a.last_heard_at).filter(|ms| ms.is_finite()),
                over_in_ms: lease.map(|a| a.expires_at - now),
            }
        };
        // Danger: several processes of one host, the old one's lease still running, share its line.
        let budget = |(b, holders): (&pearfork_ledger::Budget, &BTreeMap<_, pearfork_ledger::Allocation>)| {
            let mut to = BTreeMap::new();
            for (who, lent) in holders {
                let host = table.members().get(who).map_or(u16::MAX, |m| m.host.0);
                *to.entry(host).or_insert(0.0) += lent.fraction.as_f64();
            }
            BudgetLine { budget: b.to_string(), lent: table.total_allocated(b).as_f64(), to }
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

/// What this host holds of a budget.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HeldLine {
    /// The budget.
    pub budget: String,
    /// Its floor, as a fraction of the whole.
    pub floor: f64,
    /// What it borrows beyond that; 0 once the lease is over.
    pub lent: f64,
    /// What its clients ask for, as a fraction of the whole.
    pub demand: f64,
}

/// A holder's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HolderView {
    /// What the ledger calls this process; none where it never joined.
    pub incarnation: Option<u64>,
    /// Milliseconds that its lease still holds; below 0 once it is over, none where it never had one.
    pub lease_ms: Option<f64>,
    /// Another process has its name.
    pub superseded: bool,
    /// Which voter it asks.
    pub asks: Option<u16>,
    /// Asks sent, and answers with a lease.
    pub asked: u64,
    /// Answers with a lease.
    pub answered: u64,
    /// Its budgets.
    pub budgets: Vec<HeldLine>,
}

/// Status of the link to a voter.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LinkLine {
    /// The voter.
    pub voter: u16,
    /// Whether it is up.
    pub up: bool,
    /// Why one of the two sides refused the other.
    pub refused: Option<String>,
}

/// All that a host knows of its fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// The fleet's name.
    pub fleet: String,
    /// The checksum of what all hosts must have alike.
    pub settings: String,
    /// This host.
    pub host: u16,
    /// As a holder.
    pub holder: HolderView,
    /// As a voter.
    pub voter: Option<VoterView>,
    /// Links to voters.
    pub links: Vec<LinkLine>,
    /// What went over its sockets.
    pub traffic: TrafficCounts,
}

/// The view, as the threads keep it.
pub(crate) struct Shared {
    view: Mutex<FleetView>,
    pub(crate) traffic: Arc<Traffic>,
}

impl Shared {
    pub(crate) fn new(plan: &FleetPlan) -> Shared {
        let view = FleetView {
            fleet: plan.name.clone(),
            settings: plan.fingerprint(),
            host: plan.me.0,
            holder: HolderView::default(),
            voter: plan.votes().then(VoterView::default),
            links: Vec::new(),
            traffic: TrafficCounts::default(),
        };
        Shared { view: Mutex::new(view), traffic: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn view(&self) -> FleetView {
        FleetView { traffic: self.traffic.counts(), ..self.lock().clone() }
    }

    pub(crate) fn voter(&self, change: impl FnOnce(&mut VoterView)) {
        if let Some(voter) = &mut self.lock().voter {
            change(voter);
        }
    }

    pub(crate) fn holder(&self, view: HolderView) {
        self.lock().holder = view;
    }

    pub(crate) fn links(&self, states: &HashMap<HostNumber, LinkStatus>) {
        let line = |(h, s): (&HostNumber, &LinkStatus)| LinkLine {
            voter: h.0,
            up: s.up,
            refused: s.refused.clone(),
        };
        let mut links: Vec<LinkLine> = states.iter().map(line).collect();
        links.sort_by_key(|l| l.voter);
        self.lock().links = links;
    }
}

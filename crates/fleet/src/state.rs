//! The status of the fleet as a host knows it, for status pages and metrics.

use crate::settings::FleetSettings;
use crate::transport::{LinkStatus, Requester, Traffic, TrafficCounts};
use pearfork_ledger::{HostNumber, Voter};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Status of a member in the lease table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberView {
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
pub struct BudgetView {
    /// Name of the budget.
    pub budget: String,
    /// Sum of all allocations, as a fraction of the whole.
    #[serde(rename = "lent")]
    pub allocated: f64,
    /// Allocated fraction by host.
    #[serde(rename = "to")]
    pub by_host: BTreeMap<u16, f64>,
}

/// Status of a voter.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct VoterView {
    /// The store error that keeps it from voting; none if it votes.
    #[serde(rename = "trouble")]
    pub store_error: Option<String>,
    /// The current term.
    pub term: u64,
    /// The leader, if this voter knows it.
    pub leader: Option<u16>,
    /// Whether it is the leader and grants leases.
    #[serde(rename = "lends")]
    pub grants_leases: bool,
    /// Index of the last entry that it knows to be committed.
    pub commit: u64,
    /// Members in the lease table.
    pub members: Vec<MemberView>,
    /// Budgets in the lease table.
    pub budgets: Vec<BudgetView>,
}

impl VoterView {
    /// The status of a running voter.
    pub(crate) fn new(voter: &Voter<Requester>, now: f64) -> VoterView {
        let state = voter.state();
        let leases = voter.lease_manager().map(|l| l.leases());
        let table = voter.table();
        let member = |(id, m): (&pearfork_ledger::Incarnation, &pearfork_ledger::Member)| {
            let lease = leases.and_then(|l| l.get(id));
            MemberView {
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
            BudgetView { budget: b.to_string(), allocated: table.total_allocated(b).as_f64(), by_host }
        };
        VoterView {
            store_error: None,
            term: state.term,
            leader: state.leader.map(|h| h.0),
            grants_leases: leases.is_some(),
            commit: state.commit,
            members: table.members().iter().map(member).collect(),
            budgets: table.budgets().map(budget).collect(),
        }
    }
}

/// This host's share of a budget.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HeldBudgetView {
    /// Name of the budget.
    pub budget: String,
    /// The host's floor, as a fraction of the whole.
    pub floor: f64,
    /// The fraction that it leases on top of that; 0 once the lease has expired.
    #[serde(rename = "lent")]
    pub leased: f64,
    /// The demand of its clients, as a fraction of the whole.
    pub demand: f64,
}

/// Status of the lease holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HolderView {
    /// Incarnation of this process; none if it has not joined.
    pub incarnation: Option<u64>,
    /// Milliseconds until the lease expires; negative once it has expired, none if there is no lease.
    #[serde(rename = "lease_ms")]
    pub lease_remaining_ms: Option<f64>,
    /// Another process joined later with the same host number.
    pub superseded: bool,
    /// The voter that it sends its requests to.
    #[serde(rename = "asks")]
    pub current_voter: Option<u16>,
    /// Number of lease requests sent.
    #[serde(rename = "asked")]
    pub requests_sent: u64,
    /// Number of responses with a lease.
    #[serde(rename = "answered")]
    pub leases_received: u64,
    /// Its shares of budgets.
    pub budgets: Vec<HeldBudgetView>,
}

/// Status of the link to a voter.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LinkView {
    /// The voter.
    pub voter: u16,
    /// Whether the link is up and the handshake is done.
    #[serde(rename = "up")]
    pub is_up: bool,
    /// Why this host or the voter refused the other side; none if neither did.
    #[serde(rename = "refused")]
    pub refusal: Option<String>,
}

/// The status of the fleet, as a host knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// The fleet's name.
    pub fleet: String,
    /// Checksum of the settings that must be the same on all hosts.
    #[serde(rename = "settings")]
    pub settings_fingerprint: String,
    /// This host.
    pub host: u16,
    /// The lease holder of this host.
    pub holder: HolderView,
    /// The voter of this host; none if it is not a voter.
    pub voter: Option<VoterView>,
    /// Links to the other voters.
    pub links: Vec<LinkView>,
    /// Traffic over its fleet sockets.
    pub traffic: TrafficCounts,
}

/// The status that the threads update.
pub(crate) struct SharedView {
    view: Mutex<FleetView>,
    pub(crate) traffic: Arc<Traffic>,
}

impl SharedView {
    pub(crate) fn new(settings: &FleetSettings) -> SharedView {
        let view = FleetView {
            fleet: settings.name.clone(),
            settings_fingerprint: settings.fingerprint(),
            host: settings.host.0,
            holder: HolderView::default(),
            voter: settings.is_voter().then(VoterView::default),
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
        let link = |(host, status): (&HostNumber, &LinkStatus)| LinkView {
            voter: host.0,
            is_up: status.is_up,
            refusal: status.refusal.clone(),
        };
        let mut links: Vec<LinkView> = statuses.iter().map(link).collect();
        links.sort_by_key(|l| l.voter);
        self.lock().links = links;
    }
}

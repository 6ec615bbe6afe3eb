//! The node: routes each event to the systems that it concerns.
//!
//! [`Node::handle`] and [`Node::tick`] hold no clock, socket, thread or source of randomness of
//! their own. The shell passes the time in and carries the returned actions out, so the daemon, the
//! fuzz tests, the experiments and the benchmarks run the same code.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::allowance::Allowance;
use crate::catalogue::Catalogue;
use crate::configuration::Configuration;
use crate::egress::Egress;
use crate::event::{Action, Event, LookUp, LookUpAnswer, LookUpError};
use crate::identity::{Identity, NodeSettings};
use crate::ingress::{self, Ingress, Target};
use crate::key::{DomainKey, RequestKey, ServiceKey, UpstreamKey, VmKey};
use crate::membership::{self, Membership, OwnState};
use crate::message::{Envelope, Message};
use crate::outbox::Outbox;
use crate::ownership;
use crate::record::Plan;
use crate::request::{Class, Dispatch, EntryVm, Once, Outcome, RequestHead};
use crate::right::Right;
use crate::steering::{Candidate, Choice, RandomByShare, SteeringPolicy, draw_order};
use crate::stop::PlannedStop;
use crate::timeline::Topic;

/// One node of the system.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    random: fastrand::Rng,
    out: Outbox,
    configuration: Configuration,
    membership: Membership,
    right: Right,
    policy: Box<dyn SteeringPolicy>,
    ingress: Ingress,
    egress: Egress,
    stop: PlannedStop,
}

impl Node {
    /// Creates a node that knows nothing yet.
    pub fn new(identity: Identity, settings: NodeSettings) -> Self {
        Self {
            random: fastrand::Rng::with_seed(settings.seed),
            right: Right::new(settings.clone(), &identity),
            out: Outbox::new(identity),
            configuration: Configuration::default(),
            membership: Membership::new(settings.clone()),
            policy: Box::new(RandomByShare),
            ingress: Ingress::default(),
            egress: Egress::default(),
            stop: PlannedStop::default(),
            settings,
        }
    }

    /// Replaces the steering policy.
    pub fn with_policy(mut self, policy: Box<dyn SteeringPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the members heard of.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the node's part of the time line and who it is.
    pub fn outbox(&self) -> &Outbox {
        &self.out
    }

    /// Handles an event and returns what is to be done about it.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.out.set_now_ms(now_ms);
        match event {
            Event::LookUp { reply, look_up } => {
                let answer = self.look_up(&look_up);
                self.out.push(Action::AnswerLookUp { reply, answer });
            }
            Event::Request { request, head } => self.request(request, &head),
            Event::HopAnswered { request, attempt, .. } => {
                self.ingress.hop_answered(request, attempt, &mut self.out);
            }
            Event::HopEnded { request, attempt, end } => {
                self.ingress.hop_ended(request, attempt, end, &mut self.out);
            }
            Event::RelayEnded { request, .. } | Event::CallerGone { request } => {
                self.ingress.forget(request);
            }
            Event::Dispatched { exchange, dispatch, .. } => {
                let allowances = self.allowances();
                let catalogue = self.configuration.catalogue();
                self.egress.dispatch(exchange, &dispatch, &allowances, catalogue, &mut self.out);
            }
            Event::CallEnded { exchange, end, .. } => self.egress.call_ended(exchange, end),
            Event::DispatchGone { exchange } => self.out.push(Action::Cancel { exchange }),
            Event::UpstreamReport { upstream, report } => {
                self.right.take_report(upstream, &report);
                self.egress.take_report(upstream, report);
            }
            Event::Connections { .. } => {}
            Event::Datagram(envelope) => self.datagram(&envelope),
            Event::Table { operation, result } => {
                self.configuration.take_result(operation, &result, &mut self.out);
            }
            Event::VmList(listed) => {
                self.membership.take_list(&listed);
                self.right.take_list(&listed, now_ms);
            }
            Event::Fetched { snapshot, .. } => {
                if let Some(snapshot) = snapshot {
                    self.configuration.apply(snapshot, &mut self.out);
                }
            }
            Event::Stop => self.begin_stop(),
        }
        self.out.take_actions()
    }

    /// Runs the systems that work by time; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.out.set_now_ms(now_ms);
        self.configuration.tick(self.settings.head_every_ms, &mut self.out);
        self.refresh_right();
        let allowances = self.allowances();
        let loads = self.egress.loads(&allowances, self.configuration.catalogue());
        let own = OwnState { revision: self.configuration.revision(), loads: &loads };
        self.membership.tick(own, &mut self.right, &mut self.out);
        self.end_stop();
        self.out.take_actions()
    }

    fn begin_stop(&mut self) {
        // A lost heartbeat is repeated well within the time after which silence is suspected, and
        // what relays pass on takes as long again.
        let heard_by_ms = self.out.now_ms() + 2 * self.settings.suspect_after_ms;
        if self.stop.begin(heard_by_ms, self.settings.look_up_valid_ms) {
            self.out.identity_mut().card.leaving = true;
            self.out.log(Topic::Node, "stop_begun", &[]);
        } else {
            self.out.push(Action::Stopped);
        }
    }

    fn end_stop(&mut self) {
        let in_flight = self.ingress.in_flight() + self.egress.calls_in_flight();
        if self.stop.may_end(self.out.now_ms(), in_flight) {
            self.out.log(Topic::Node, "stop_ended", &[]);
            self.right.end();
            if self.right.is_idle() {
                self.membership.say_farewell(&mut self.out);
            }
            self.out.push(Action::Stopped);
        }
    }

    /// Answers a look-up from memory.
    ///
    /// # Errors
    ///
    /// Fails if the service is unknown or the node can't read its records.
    pub fn look_up(&self, look_up: &LookUp) -> Result<LookUpAnswer, LookUpError> {
        let catalogue = self.configuration.catalogue();
        let service = ServiceKey::of(&look_up.service);
        if catalogue.refused.contains(&service) {
            return Err(LookUpError::Configuration);
        }
        if !catalogue.services.contains_key(&service) {
            return Err(LookUpError::NoService);
        }
        let valid_ms = self.settings.look_up_valid_ms;
        Ok(LookUpAnswer {
            entry_vms: self.entry_vms(),
            expires_at_ms: self.out.now_ms() + valid_ms,
            expires_after_ms: valid_ms,
            revision: self.configuration.revision(),
        })
    }

    fn entry_vms(&self) -> Vec<EntryVm> {
        let card = &self.out.identity().card;
        let own = EntryVm { name: card.name.clone(), address: card.callers };
        let others = self.membership.members().into_iter().filter(|(_, member)| member.serves());
        let others = others.map(|(_, member)| EntryVm {
            name: member.card.name.clone(),
            address: member.card.callers,
        });
        std::iter::once(own).chain(others).collect()
    }

    fn request(&mut self, request: RequestKey, head: &RequestHead) {
        let catalogue = Arc::clone(self.configuration.catalogue());
        let service = ServiceKey::of(&head.service);
        if !catalogue.services.contains_key(&service) {
            ingress::conclude(request, Outcome::NoService, &mut self.out);
            return;
        }
        let Some(class) = classify(head, &catalogue) else {
            ingress::conclude(request, Outcome::UnknownOrganisation, &mut self.out);
            return;
        };
        let target = self.target(service, class, head, &catalogue);
        self.ingress.begin(request, head, target, &mut self.out);
    }

    fn target(
        &mut self,
        service: ServiceKey,
        class: Class,
        head: &RequestHead,
        catalogue: &Catalogue,
    ) -> Option<Target> {
        let origin = catalogue.origin(head.source);
        let candidates: Vec<_> = catalogue
            .shares(service, origin)?
            .iter()
            .map(|(domain, share)| self.candidate(service, *domain, *share, catalogue))
            .collect();
        let order = self.policy.rank(Choice { service, origin }, &candidates, &mut self.random);
        let (vm, address) = order
            .into_iter()
            .find_map(|index| self.owner_in(candidates[index].domain, service, catalogue))?;
        let dispatch = Dispatch {
            service,
            class,
            origin,
            remaining_ms: head.deadline_at_ms.saturating_sub(self.out.now_ms()),
            once_only: head.once != Once::Repeatable,
            avoid: None,
            revision: self.configuration.revision(),
        };
        Some(Target { vm, address, dispatch })
    }

    fn candidate(
        &self,
        service: ServiceKey,
        domain: DomainKey,
        share: f64,
        catalogue: &Catalogue,
    ) -> Candidate {
        let region = |domain: &DomainKey| catalogue.domains.get(domain).map(|entry| entry.region);
        let mut candidate = Candidate {
            domain,
            share,
            slots: 0,
            in_flight: 0,
            report_age_ms: 0,
            same_region: region(&domain) == region(&self.out.identity().card.domain),
        };
        for vm in membership::serving_among(&self.membership.alive_in(domain)) {
            let Some(member) = self.membership.member(vm) else {
                continue;
            };
            for load in member.loads.iter().filter(|load| load.service == service) {
                candidate.slots += load.slots;
                candidate.in_flight += load.in_flight;
            }
            let age_ms = self.out.now_ms().saturating_sub(member.heard_at_ms);
            candidate.report_age_ms = candidate.report_age_ms.max(age_ms);
        }
        candidate
    }

    /// Returns a VM of a failure domain, drawn by the slots of the service's upstreams that it may
    /// use; the owner of a random one of them if none tells of slots.
    fn owner_in(
        &mut self,
        domain: DomainKey,
        service: ServiceKey,
        catalogue: &Catalogue,
    ) -> Option<(VmKey, SocketAddr)> {
        let serving = self.serving_in(domain);
        let weights = serving.iter().map(|vm| self.slots_told(*vm, service, catalogue)).collect();
        if let Some(index) = draw_order(weights, &mut self.random).first() {
            let vm = serving[*index];
            return Some((vm, self.peer_address(vm)?));
        }
        let upstreams = &catalogue.services.get(&service)?.upstreams;
        let here: Vec<UpstreamKey> = upstreams
            .iter()
            .copied()
            .filter(|upstream| catalogue.upstreams[upstream].domain == domain)
            .collect();
        let upstream = *self.random.choice(&here)?;
        let vm = ownership::owner(u64::from(upstream.0), &serving)?;
        Some((vm, self.peer_address(vm)?))
    }

    /// Returns the slots of a service's upstreams that a VM has told it may use.
    fn slots_told(&self, vm: VmKey, service: ServiceKey, catalogue: &Catalogue) -> f64 {
        let own = vm == self.out.identity().vm;
        let loads = if own {
            self.egress.loads(&self.allowances(), catalogue)
        } else {
            self.membership.member(vm).map(|member| member.loads.clone()).unwrap_or_default()
        };
        let told = loads.iter().find(|load| load.service == service);
        told.map_or(0.0, |load| f64::from(load.slots))
    }

    fn peer_address(&self, vm: VmKey) -> Option<SocketAddr> {
        if vm == self.out.identity().vm {
            return Some(self.out.identity().card.peers);
        }
        self.membership.member(vm).map(|member| member.card.peers)
    }

    /// Returns the VMs that serve in a failure domain, this node among them.
    fn serving_in(&self, domain: DomainKey) -> Vec<VmKey> {
        let identity = self.out.identity();
        let mut alive = self.membership.alive_in(domain);
        if identity.card.domain == domain {
            alive.push((identity.vm, identity.card.leaving));
        }
        membership::serving_among(&alive)
    }

    fn refresh_right(&mut self) {
        let revision = self.configuration.revision();
        let catalogue = self.configuration.catalogue();
        let egress = &self.egress;
        let in_flight = |upstream| egress.in_flight(upstream);
        self.right.refresh(&self.membership, catalogue, revision, in_flight, &mut self.out);
    }

    fn allowances(&self) -> Vec<Allowance> {
        self.right.allowances(self.out.now_ms())
    }

    fn datagram(&mut self, envelope: &Envelope) {
        if envelope.from == self.out.identity().vm {
            return;
        }
        self.out.merge_stamp(envelope.stamp);
        match &envelope.message {
            Message::Heartbeat(heartbeat) => {
                if self.membership.take_heartbeat(envelope, heartbeat, &mut self.out) {
                    self.right.take_heartbeat(envelope, heartbeat);
                    let (named, own) = (heartbeat.roster, self.right.roster_digest());
                    self.membership.compare_rosters(envelope.from, named, own, &mut self.out);
                }
            }
            Message::Farewell => {
                if self.membership.take_farewell(envelope, &mut self.out) {
                    self.right.take_farewell(envelope.from, envelope.boot);
                }
            }
            Message::Probe(probe) => self.membership.take_probe(envelope, probe, &mut self.out),
            Message::ProbeAnswer(answer) => {
                self.membership.take_probe_answer(answer, &mut self.out);
            }
            Message::Summary(summary) => self.membership.take_summary(summary, &mut self.out),
        }
    }
}

/// Returns the class of a request, or none if its organisation's key is unknown.
fn classify(head: &RequestHead, catalogue: &Catalogue) -> Option<Class> {
    let Some(key_digest) = head.key_digest else {
        return Some(Class::Guest);
    };
    let organisation = catalogue.organisation(key_digest)?;
    match catalogue.organisations.get(&organisation)?.plan {
        Plan::Paying => Some(Class::Paying),
        Plan::Trial => Some(Class::Trial),
    }
}

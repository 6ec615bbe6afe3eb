//! How much traffic moved between failure domains, read from what upstreams ran and callers asked.
//!
//! Shares by failure domain are followed from window to window, at twenty offsets. A refused request
//! has not moved and still counts where its traffic stood; what a domain runs beyond what stood there
//! has moved.

use std::collections::BTreeMap;
use std::net::IpAddr;

use sedgepath_core::key::UpstreamKey;

use crate::bed::Bed;

/// The offsets at which windows begin, as parts of a window.
const OFFSETS: usize = 20;

/// Whose traffic is followed, and where it may go.
#[derive(Debug)]
pub struct Followed<'a> {
    /// The service.
    pub service: &'a str,
    /// Whether a caller's address belongs to the origin group.
    pub is_origin: fn(IpAddr, usize) -> bool,
    /// The number of the origin group.
    pub origin: usize,
    /// The number of each upstream's failure domain.
    pub domains: &'a BTreeMap<UpstreamKey, usize>,
    /// The shares that stood at the start.
    pub shares: &'a [f64],
    /// The window of the cap in milliseconds.
    pub window_ms: u64,
    /// When the first window begins, in milliseconds.
    pub from_ms: u64,
    /// The requests of a window that rounding may move.
    pub rounding: f64,
}

/// One part of a window.
#[derive(Debug, Clone)]
struct Bin {
    asked: f64,
    ran: Vec<f64>,
}

impl Followed<'_> {
    /// Returns the greatest share of the traffic, in percent, that moved between two windows beyond
    /// the rounding.
    pub fn most_moved_percent(&self, bed: &Bed) -> f64 {
        let bins = self.bins(bed);
        let mut most: f64 = 0.0;
        for offset in 0..OFFSETS {
            let mut standing = self.shares.to_vec();
            for window in bins[offset.min(bins.len())..].chunks_exact(OFFSETS) {
                let (ran, requests) = self.sum(window);
                if requests > 0.0 {
                    let ran: Vec<_> = ran.iter().map(|ran| ran / requests).collect();
                    let moved = follow(&mut standing, &ran) - self.rounding / requests;
                    most = most.max(100.0 * moved);
                }
            }
        }
        most
    }

    /// Returns the greatest share of the traffic, in percent, that moved between two windows beyond
    /// the rounding, where refused traffic counts where its nodes say that it stood.
    ///
    /// `stood` holds, for each call, the shares of its node when it was asked. A window's traffic stands
    /// there, but for what a domain ran beyond that: nodes that move more than they say are found out by
    /// what ran.
    pub fn most_moved_percent_from(&self, stood: &[Vec<f64>], bed: &Bed) -> f64 {
        let bins = self.bins(bed);
        let stood = self.bins_of_stood(stood, bed);
        let mut most: f64 = 0.0;
        for offset in 0..OFFSETS {
            let offset = offset.min(bins.len());
            let mut last = self.shares.to_vec();
            let windows = bins[offset..].chunks_exact(OFFSETS);
            for (window, stood) in windows.zip(stood[offset..].chunks_exact(OFFSETS)) {
                let (ran, requests) = self.sum(window);
                if requests > 0.0 {
                    let ran: Vec<_> = ran.iter().map(|ran| ran / requests).collect();
                    let mut stands = average(stood);
                    follow(&mut stands, &ran);
                    let moved = distance(&stands, &last) - self.rounding / requests;
                    most = most.max(100.0 * moved);
                    last = stands;
                }
            }
        }
        most
    }

    /// Returns, for each bin, the shares that stood at each of its calls.
    fn bins_of_stood<'s>(&self, stood: &'s [Vec<f64>], bed: &Bed) -> Vec<Vec<&'s [f64]>> {
        let mut bins = vec![Vec::new(); self.bin_count(bed)];
        for (index, shares) in stood.iter().enumerate() {
            let asked_at_ms = bed.calls()[index].asked_at_ms;
            if self.is_followed(bed, index)
                && let Some(bin) = self.bin_at(asked_at_ms).and_then(|bin| bins.get_mut(bin))
            {
                bin.push(shares.as_slice());
            }
        }
        bins
    }

    /// Returns the shares of what ran in the last whole window.
    pub fn last_shares(&self, bed: &Bed) -> Vec<f64> {
        let bins = self.bins(bed);
        let (ran, _) = self.sum(&bins[bins.len() - OFFSETS..]);
        let total: f64 = ran.iter().sum();
        ran.iter().map(|ran| ran / total).collect()
    }

    fn sum(&self, window: &[Bin]) -> (Vec<f64>, f64) {
        let mut ran = vec![0.0; self.shares.len()];
        for bin in window {
            for (sum, added) in ran.iter_mut().zip(&bin.ran) {
                *sum += added;
            }
        }
        let asked: f64 = window.iter().map(|bin| bin.asked).sum();
        let total: f64 = ran.iter().sum();
        (ran, total.max(asked))
    }

    fn bins(&self, bed: &Bed) -> Vec<Bin> {
        let bin = Bin { asked: 0.0, ran: vec![0.0; self.shares.len()] };
        let mut bins = vec![bin; self.bin_count(bed)];
        let followed = |call: usize| self.is_followed(bed, call);
        let calls = bed.calls().iter().enumerate();
        for (_, asked) in calls.filter(|(call, _)| followed(*call)) {
            if let Some(bin) = self.bin_at(asked.asked_at_ms).and_then(|bin| bins.get_mut(bin)) {
                bin.asked += 1.0;
            }
        }
        for (upstream, state) in bed.upstreams.iter() {
            let Some(domain) = self.domains.get(&upstream) else { continue };
            for run in state.runs.iter().filter(|run| run.call.is_some_and(followed)) {
                if let Some(bin) = self.bin_at(run.started_at_ms).and_then(|bin| bins.get_mut(bin))
                {
                    bin.ran[*domain] += 1.0;
                }
            }
        }
        bins
    }

    fn bin_count(&self, bed: &Bed) -> usize {
        ((bed.now_ms() - self.from_ms) / self.bin_ms()) as usize
    }

    fn bin_at(&self, at_ms: u64) -> Option<usize> {
        Some((at_ms.checked_sub(self.from_ms)? / self.bin_ms()) as usize)
    }

    fn bin_ms(&self) -> u64 {
        self.window_ms / OFFSETS as u64
    }

    fn is_followed(&self, bed: &Bed, call: usize) -> bool {
        let head = &bed.calls()[call].head;
        *head.service == *self.service && (self.is_origin)(head.source, self.origin)
    }
}

/// Returns the average of the shares in all bins.
fn average(bins: &[Vec<&[f64]>]) -> Vec<f64> {
    let all: Vec<&[f64]> = bins.iter().flatten().copied().collect();
    let domains = all.first().map_or(0, |shares| shares.len());
    let sum_of = |domain: usize| all.iter().map(|shares| shares[domain]).sum::<f64>();
    (0..domains).map(|domain| sum_of(domain) / all.len() as f64).collect()
}

/// Half the sum of the absolute differences.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}

/// Moves the standing shares as little as makes room for what ran; returns what moved.
fn follow(standing: &mut [f64], ran: &[f64]) -> f64 {
    let moved: f64 = standing.iter().zip(ran).map(|(stood, ran)| (ran - stood).max(0.0)).sum();
    let slack: f64 = standing.iter().zip(ran).map(|(stood, ran)| (stood - ran).max(0.0)).sum();
    for (stood, ran) in standing.iter_mut().zip(ran) {
        let taken = if slack > 0.0 { (*stood - ran).max(0.0) / slack * moved } else { 0.0 };
        *stood = stood.max(*ran) - taken;
    }
    moved
}

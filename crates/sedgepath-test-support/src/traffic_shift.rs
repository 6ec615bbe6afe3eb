//! Measures how much traffic shifts between failure domains, from the requests and upstream runs.
//!
//! The split of the traffic by failure domain is compared from window to window, at several offsets
//! of the windows. A rejected request counts as traffic that has not shifted; the share that a domain
//! runs above its share of the previous split has shifted.

use std::collections::BTreeMap;
use std::net::IpAddr;

use sedgepath_core::key::UpstreamKey;

use crate::bed::TestBed;

/// The bins per window, and the number of offsets at which windows begin.
const BINS_PER_WINDOW: usize = 20;

/// The traffic that is measured, and its initial split.
#[derive(Debug)]
pub struct ShiftMeasurement<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// Returns whether a caller's address belongs to an origin group, given by its index.
    pub is_origin: fn(IpAddr, usize) -> bool,
    /// The index of the origin group.
    pub origin: usize,
    /// The index of each upstream's failure domain.
    pub domains: &'a BTreeMap<UpstreamKey, usize>,
    /// The initial share of each failure domain.
    pub initial_shares: &'a [f64],
    /// The window of the shift cap, in milliseconds.
    pub window_ms: u64,
    /// When the first window begins, in milliseconds of the simulated clock.
    pub start_ms: u64,
    /// The number of requests per window that may shift because of rounding.
    pub rounding_requests: f64,
}

/// The requests and runs in one bin.
#[derive(Debug, Clone)]
struct Bin {
    requested: f64,
    runs_by_domain: Vec<f64>,
}

impl ShiftMeasurement<'_> {
    /// Returns the maximum percentage of the traffic that shifted between consecutive windows,
    /// less the rounding.
    pub fn max_shift_percent(&self, bed: &TestBed) -> f64 {
        let bins = self.bins(bed);
        let mut max_shift: f64 = 0.0;
        for offset in 0..BINS_PER_WINDOW {
            let mut split = self.initial_shares.to_vec();
            for window in bins[offset.min(bins.len())..].chunks_exact(BINS_PER_WINDOW) {
                let (runs, requests) = self.sum_bins(window);
                if requests > 0.0 {
                    let run_shares: Vec<_> = runs.iter().map(|count| count / requests).collect();
                    let shift =
                        shift_split(&mut split, &run_shares) - self.rounding_requests / requests;
                    max_shift = max_shift.max(100.0 * shift);
                }
            }
        }
        max_shift
    }

    /// Returns the maximum percentage of the traffic that shifted between consecutive windows,
    /// less the rounding, given the splits that the nodes themselves report.
    ///
    /// `splits` holds, for each call, the split of its node when the call was made. The split of a
    /// window is the average of these, adjusted for domains that ran more than their reported share,
    /// so that a node that shifts more than it reports is detected.
    pub fn max_shift_percent_from_splits(&self, splits: &[Vec<f64>], bed: &TestBed) -> f64 {
        let bins = self.bins(bed);
        let splits = self.splits_by_bin(splits, bed);
        let mut max_shift: f64 = 0.0;
        for offset in 0..BINS_PER_WINDOW {
            let offset = offset.min(bins.len());
            let mut last = self.initial_shares.to_vec();
            let windows = bins[offset..].chunks_exact(BINS_PER_WINDOW);
            for (window, splits) in windows.zip(splits[offset..].chunks_exact(BINS_PER_WINDOW)) {
                let (runs, requests) = self.sum_bins(window);
                if requests > 0.0 {
                    let run_shares: Vec<_> = runs.iter().map(|count| count / requests).collect();
                    let mut split = average_split(splits);
                    shift_split(&mut split, &run_shares);
                    let shift =
                        total_variation_distance(&split, &last) - self.rounding_requests / requests;
                    max_shift = max_shift.max(100.0 * shift);
                    last = split;
                }
            }
        }
        max_shift
    }

    /// Returns, for each bin, the splits that were in force at its calls.
    fn splits_by_bin<'s>(&self, splits: &'s [Vec<f64>], bed: &TestBed) -> Vec<Vec<&'s [f64]>> {
        let mut bins = vec![Vec::new(); self.bin_count(bed)];
        for (index, shares) in splits.iter().enumerate() {
            let asked_at_ms = bed.calls()[index].sent_at_ms;
            if self.includes_call(bed, index)
                && let Some(bin) = self.bin_at(asked_at_ms).and_then(|bin| bins.get_mut(bin))
            {
                bin.push(shares.as_slice());
            }
        }
        bins
    }

    /// Returns the share of each failure domain in the runs of the last complete window.
    pub fn last_shares(&self, bed: &TestBed) -> Vec<f64> {
        let bins = self.bins(bed);
        let (runs, _) = self.sum_bins(&bins[bins.len() - BINS_PER_WINDOW..]);
        let total: f64 = runs.iter().sum();
        runs.iter().map(|count| count / total).collect()
    }

    fn sum_bins(&self, window: &[Bin]) -> (Vec<f64>, f64) {
        let mut runs = vec![0.0; self.initial_shares.len()];
        for bin in window {
            for (sum, added) in runs.iter_mut().zip(&bin.runs_by_domain) {
                *sum += added;
            }
        }
        let requested: f64 = window.iter().map(|bin| bin.requested).sum();
        let total: f64 = runs.iter().sum();
        (runs, total.max(requested))
    }

    fn bins(&self, bed: &TestBed) -> Vec<Bin> {
        let bin = Bin { requested: 0.0, runs_by_domain: vec![0.0; self.initial_shares.len()] };
        let mut bins = vec![bin; self.bin_count(bed)];
        let includes_call = |call: usize| self.includes_call(bed, call);
        let calls = bed.calls().iter().enumerate();
        for (_, asked) in calls.filter(|(call, _)| includes_call(*call)) {
            if let Some(bin) = self.bin_at(asked.sent_at_ms).and_then(|bin| bins.get_mut(bin)) {
                bin.requested += 1.0;
            }
        }
        for (upstream, state) in bed.upstreams.iter() {
            let Some(domain) = self.domains.get(&upstream) else { continue };
            for run in state.runs.iter().filter(|run| run.call.is_some_and(includes_call)) {
                if let Some(bin) = self.bin_at(run.started_at_ms).and_then(|bin| bins.get_mut(bin))
                {
                    bin.runs_by_domain[*domain] += 1.0;
                }
            }
        }
        bins
    }

    fn bin_count(&self, bed: &TestBed) -> usize {
        ((bed.now_ms() - self.start_ms) / self.bin_ms()) as usize
    }

    fn bin_at(&self, at_ms: u64) -> Option<usize> {
        Some((at_ms.checked_sub(self.start_ms)? / self.bin_ms()) as usize)
    }

    fn bin_ms(&self) -> u64 {
        self.window_ms / BINS_PER_WINDOW as u64
    }

    fn includes_call(&self, bed: &TestBed, call: usize) -> bool {
        let head = &bed.calls()[call].head;
        *head.service == *self.service && (self.is_origin)(head.source, self.origin)
    }
}

/// Returns the average of the splits in all bins.
fn average_split(bins: &[Vec<&[f64]>]) -> Vec<f64> {
    let all: Vec<&[f64]> = bins.iter().flatten().copied().collect();
    let domains = all.first().map_or(0, |shares| shares.len());
    let sum_of = |domain: usize| all.iter().map(|shares| shares[domain]).sum::<f64>();
    (0..domains).map(|domain| sum_of(domain) / all.len() as f64).collect()
}

/// Returns half the sum of the absolute differences of two splits.
fn total_variation_distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}

/// Adjusts a split by the smallest shift that accommodates the shares run; returns that shift.
fn shift_split(split: &mut [f64], run_shares: &[f64]) -> f64 {
    let shift: f64 = split.iter().zip(run_shares).map(|(share, run)| (run - share).max(0.0)).sum();
    let slack: f64 = split.iter().zip(run_shares).map(|(share, run)| (share - run).max(0.0)).sum();
    for (share, run) in split.iter_mut().zip(run_shares) {
        let taken = if slack > 0.0 { (*share - run).max(0.0) / slack * shift } else { 0.0 };
        *share = share.max(*run) - taken;
    }
    shift
}

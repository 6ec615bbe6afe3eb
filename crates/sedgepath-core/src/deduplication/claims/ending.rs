//! Writes the final state of a claim to its row, with reads and retries until the row has it.

use crate::deduplication::batch::{Batcher, Requester};
use crate::deduplication::claim::{CLAIM_RETENTION_MS, FinalState, Step};
use crate::deduplication::row::{self, ClaimRow, ClaimState};
use crate::event::Action;
use crate::key::RequestKey;
use crate::outbox::Outbox;
use crate::table::{Row, RowCondition};

use super::{Claims, holder};

impl Claims {
    /// Starts to write the final state of a claim by reading its row.
    pub(super) fn start_final_write(
        &mut self,
        request: RequestKey,
        final_state: FinalState,
        batcher: &mut Batcher,
    ) {
        if let Some(claim) = self.by_request.get_mut(&request) {
            claim.step = Step::WritingFinalState(final_state);
            batcher.read(Requester::Claim(request), vec![ClaimRow::key(claim.key)]);
        }
    }

    /// Replaces the row that was read with the final state of its claim, if necessary.
    pub(super) fn write_final_state(
        &mut self,
        request: RequestKey,
        final_state: &FinalState,
        row: Option<&Row>,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        let Some(claim) = self.by_request.get(&request) else {
            return;
        };
        let own_holder = holder(request, out);
        let stored_claim = row.and_then(|row| serde_json::from_str::<ClaimRow>(&row.value).ok());
        let is_own = stored_claim.as_ref().is_some_and(|stored| stored.holder == own_holder);
        let condition = row.map_or(RowCondition::Absent, |row| RowCondition::Version(row.version));
        let state = match final_state {
            FinalState::Expired if is_own => {
                batcher.write(Requester::Claim(request), row::delete(claim.key, condition));
                return;
            }
            FinalState::Expired => {
                self.finish_final_write(request, final_state, out);
                return;
            }
            FinalState::NotRun => ClaimState::NotRun,
            FinalState::Answered(stored) => ClaimState::Answered(stored.clone()),
        };
        let done = match &stored_claim {
            Some(stored) if is_own => stored.state == state,
            // A write of this claim with an unknown result may still replace the version read.
            Some(_) => claim.unconfirmed_write.as_ref() != Some(&condition),
            None => row.is_some(),
        };
        if done {
            self.finish_final_write(request, final_state, out);
        } else {
            let row = claim.row(own_holder, state, out.now_ms());
            batcher.write(Requester::Claim(request), row.write(claim.key, condition));
        }
    }

    /// Sends a held outcome, schedules the removal of the row and drops the claim.
    pub(super) fn finish_final_write(
        &mut self,
        request: RequestKey,
        final_state: &FinalState,
        out: &mut Outbox,
    ) {
        self.release_outcome(request, out);
        if let Some(claim) = self.by_request.get(&request)
            && *final_state != FinalState::Expired
        {
            self.expiry_queue.push(out.now_ms() + CLAIM_RETENTION_MS, claim.key, request);
        }
        self.drop_claim(request);
    }

    /// Sends the outcome that was held back, if there is one.
    pub(super) fn release_outcome(&mut self, request: RequestKey, out: &mut Outbox) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        if let Some((outcome, _)) = claim.held_outcome.take() {
            out.push(Action::Conclude { request, outcome });
        }
    }
}
